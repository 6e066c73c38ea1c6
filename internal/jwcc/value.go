package jwcc

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"
	"reflect"
	"slices"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
)

// decoder fills a Go value from a parsed document and collects problems.
type decoder struct {
	source   *Source
	problems []Problem
	fields   map[reflect.Type]map[string]int // indexes of the fields of each struct type met
}

func (d *decoder) report(v *hujson.Value, key, message string) {
	if len(d.problems) < maxProblems {
		d.problems = append(d.problems, d.source.problem(v.StartOffset, key, message))
	}
}

func (d *decoder) value(v *hujson.Value, key string, into reflect.Value) {
	if _, known := d.source.offsets[key]; !known {
		d.source.offsets[key] = v.StartOffset
	}
	if v.Value.Kind() == 'n' && nullable(into.Kind()) {
		into.SetZero()
		return
	}
	if custom, ok := into.Addr().Interface().(json.Unmarshaler); ok {
		d.custom(v, key, custom)
		return
	}
	switch into.Kind() {
	case reflect.Pointer:
		into.Set(reflect.New(into.Type().Elem()))
		d.value(v, key, into.Elem())
	case reflect.Struct:
		d.structure(v, key, into)
	case reflect.Map:
		d.mapping(v, key, into)
	case reflect.Slice:
		d.list(v, key, into)
	default:
		d.basic(v, key, into)
	}
}

func nullable(kind reflect.Kind) bool {
	return kind == reflect.Pointer || kind == reflect.Map || kind == reflect.Slice
}

// custom decodes a type that reads its own JSON, such as Duration.
func (d *decoder) custom(v *hujson.Value, key string, into json.Unmarshaler) {
	plain := v.Clone()
	plain.Minimize()
	if err := into.UnmarshalJSON(bytes.TrimSpace(plain.Pack())); err != nil {
		d.report(v, key, err.Error())
	}
}

func (d *decoder) structure(v *hujson.Value, key string, into reflect.Value) {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		d.wrongType(v, key, "an object with the keys "+strings.Join(fieldNames(into.Type()), ", "))
		return
	}
	fields, ok := d.fields[into.Type()]
	if !ok {
		fields = fieldsByName(into.Type())
		d.fields[into.Type()] = fields
	}
	d.members(object, key, func(name, path string, m *hujson.ObjectMember) {
		index, ok := fields[name]
		if !ok {
			d.report(&m.Name, path, "unknown key; allowed are "+strings.Join(fieldNames(into.Type()), ", "))
			return
		}
		d.value(&m.Value, path, into.Field(index))
	})
}

func (d *decoder) mapping(v *hujson.Value, key string, into reflect.Value) {
	object, ok := v.Value.(*hujson.Object)
	if !ok || into.Type().Key().Kind() != reflect.String {
		d.wrongType(v, key, "an object")
		return
	}
	into.Set(reflect.MakeMap(into.Type()))
	d.members(object, key, func(name, path string, m *hujson.ObjectMember) {
		element := reflect.New(into.Type().Elem()).Elem()
		d.value(&m.Value, path, element)
		into.SetMapIndex(reflect.ValueOf(name).Convert(into.Type().Key()), element)
	})
}

// members calls each for the members of an object and reports the duplicates.
func (d *decoder) members(object *hujson.Object, key string, each func(name, path string, m *hujson.ObjectMember)) {
	first := make(map[string]int, len(object.Members))
	for i := range object.Members {
		m := &object.Members[i]
		name := m.Name.Value.(hujson.Literal).String()
		path := joinPath(key, name)
		if offset, seen := first[name]; seen {
			line := d.source.problem(offset, "", "").Line
			d.report(&m.Name, path, fmt.Sprintf("duplicate key; allowed is one, and the first is on line %d", line))
			continue
		}
		first[name] = m.Name.StartOffset
		each(name, path, m)
	}
}

func (d *decoder) list(v *hujson.Value, key string, into reflect.Value) {
	array, ok := v.Value.(*hujson.Array)
	if !ok {
		d.wrongType(v, key, "a list")
		return
	}
	into.Set(reflect.MakeSlice(into.Type(), len(array.Elements), len(array.Elements)))
	for i := range array.Elements {
		d.value(&array.Elements[i], key+"["+strconv.Itoa(i)+"]", into.Index(i))
	}
}

func (d *decoder) basic(v *hujson.Value, key string, into reflect.Value) {
	literal, ok := v.Value.(hujson.Literal)
	if !ok {
		literal = nil
	}
	text := string(literal)
	switch into.Kind() {
	case reflect.String:
		if literal.Kind() != '"' {
			d.wrongType(v, key, "quoted text")
			return
		}
		into.SetString(literal.String())
	case reflect.Bool:
		if text != "true" && text != "false" {
			d.wrongType(v, key, "true or false")
			return
		}
		into.SetBool(text == "true")
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		n, err := strconv.ParseInt(text, 10, into.Type().Bits())
		if err != nil {
			d.wrongType(v, key, fmt.Sprintf("a whole number of at most %d", int64(math.MaxInt64)>>(64-into.Type().Bits())))
			return
		}
		into.SetInt(n)
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		n, err := strconv.ParseUint(text, 10, into.Type().Bits())
		if err != nil {
			d.wrongType(v, key, fmt.Sprintf("a whole number from 0 to %d", uint64(math.MaxUint64)>>(64-into.Type().Bits())))
			return
		}
		into.SetUint(n)
	case reflect.Float32, reflect.Float64:
		n, err := strconv.ParseFloat(text, into.Type().Bits())
		if literal.Kind() != '0' || err != nil {
			d.wrongType(v, key, "a number")
			return
		}
		into.SetFloat(n)
	default:
		d.wrongType(v, key, "a type that the program can read, which "+into.Type().String()+" is not")
	}
}

// wrongType reports a value of another form than the allowed one.
func (d *decoder) wrongType(v *hujson.Value, key, allowed string) {
	found := "an object"
	switch value := v.Value.(type) {
	case *hujson.Array:
		found = "a list"
	case hujson.Literal:
		found = shorten(string(value))
	}
	d.report(v, key, "found "+found+"; allowed is "+allowed)
}

// maxQuoted bounds the bytes of a value that a message repeats.
const maxQuoted = 60

func shorten(text string) string {
	if len(text) <= maxQuoted {
		return text
	}
	return strings.ToValidUTF8(text[:maxQuoted], "") + "…"
}

func joinPath(key, name string) string {
	if key == "" {
		return name
	}
	return key + "." + name
}

// fieldsByName returns the indexes of the exported fields by their JSON names.
func fieldsByName(t reflect.Type) map[string]int {
	out := map[string]int{}
	for i := range t.NumField() {
		field := t.Field(i)
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		if !field.IsExported() || name == "-" {
			continue
		}
		if name == "" {
			name = field.Name
		}
		out[name] = i
	}
	return out
}

// fieldNames returns the JSON names of the fields in the order of the struct.
func fieldNames(t reflect.Type) []string {
	fields := fieldsByName(t)
	names := make([]string, 0, len(fields))
	for name := range fields {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int { return fields[a] - fields[b] })
	return names
}
