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

// decoder sets a Go value from a parsed document and collects the problems. The
// key of its methods is the path of the value, such as "services.added[0].slots".
type decoder struct {
	positions    *KeyPositions
	problems     []Problem
	fieldIndexes map[reflect.Type]map[string]int // cache of fieldIndexesByName
}

func (d *decoder) report(v *hujson.Value, key, message string) {
	if len(d.problems) < maxProblems {
		d.problems = append(d.problems, d.positions.problem(v.StartOffset, key, message))
	}
}

// decodeValue records the position of the key and sets into from v by the type
// of into.
func (d *decoder) decodeValue(v *hujson.Value, key string, into reflect.Value) {
	if _, known := d.positions.offsets[key]; !known {
		d.positions.offsets[key] = v.StartOffset
	}
	if v.Value.Kind() == 'n' && isNullable(into.Kind()) {
		into.SetZero()
		return
	}
	if custom, ok := into.Addr().Interface().(json.Unmarshaler); ok {
		d.decodeCustom(v, key, custom)
		return
	}
	switch into.Kind() {
	case reflect.Pointer:
		into.Set(reflect.New(into.Type().Elem()))
		d.decodeValue(v, key, into.Elem())
	case reflect.Struct:
		d.decodeStruct(v, key, into)
	case reflect.Map:
		d.decodeMap(v, key, into)
	case reflect.Slice:
		d.decodeSlice(v, key, into)
	default:
		d.decodeBasic(v, key, into)
	}
}

// isNullable reports whether JSON null is allowed for a Go type of this kind.
func isNullable(kind reflect.Kind) bool {
	return kind == reflect.Pointer || kind == reflect.Map || kind == reflect.Slice
}

// decodeCustom decodes into a type with an UnmarshalJSON method, such as
// Duration. The method gets plain JSON without comments.
func (d *decoder) decodeCustom(v *hujson.Value, key string, into json.Unmarshaler) {
	minimized := v.Clone()
	minimized.Minimize()
	if err := into.UnmarshalJSON(bytes.TrimSpace(minimized.Pack())); err != nil {
		d.report(v, key, err.Error())
	}
}

func (d *decoder) decodeStruct(v *hujson.Value, key string, into reflect.Value) {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		d.reportWrongType(v, key, "an object with the keys "+strings.Join(fieldNames(into.Type()), ", "))
		return
	}
	fields, ok := d.fieldIndexes[into.Type()]
	if !ok {
		fields = fieldIndexesByName(into.Type())
		d.fieldIndexes[into.Type()] = fields
	}
	d.forEachMember(object, key, func(name, path string, m *hujson.ObjectMember) {
		index, ok := fields[name]
		if !ok {
			d.report(&m.Name, path, "unknown key; allowed are "+strings.Join(fieldNames(into.Type()), ", "))
			return
		}
		d.decodeValue(&m.Value, path, into.Field(index))
	})
}

func (d *decoder) decodeMap(v *hujson.Value, key string, into reflect.Value) {
	object, ok := v.Value.(*hujson.Object)
	if !ok || into.Type().Key().Kind() != reflect.String {
		d.reportWrongType(v, key, "an object")
		return
	}
	into.Set(reflect.MakeMap(into.Type()))
	d.forEachMember(object, key, func(name, path string, m *hujson.ObjectMember) {
		element := reflect.New(into.Type().Elem()).Elem()
		d.decodeValue(&m.Value, path, element)
		into.SetMapIndex(reflect.ValueOf(name).Convert(into.Type().Key()), element)
	})
}

// forEachMember calls visit for each member of an object, except for members with
// a duplicate key, which it reports.
func (d *decoder) forEachMember(object *hujson.Object, key string, visit func(name, path string, m *hujson.ObjectMember)) {
	firstOffsets := make(map[string]int, len(object.Members))
	for i := range object.Members {
		m := &object.Members[i]
		name := m.Name.Value.(hujson.Literal).String()
		path := joinPath(key, name)
		if offset, seen := firstOffsets[name]; seen {
			line := d.positions.problem(offset, "", "").Line
			d.report(&m.Name, path, fmt.Sprintf("duplicate key; allowed is one, and the first is on line %d", line))
			continue
		}
		firstOffsets[name] = m.Name.StartOffset
		visit(name, path, m)
	}
}

func (d *decoder) decodeSlice(v *hujson.Value, key string, into reflect.Value) {
	array, ok := v.Value.(*hujson.Array)
	if !ok {
		d.reportWrongType(v, key, "a list")
		return
	}
	into.Set(reflect.MakeSlice(into.Type(), len(array.Elements), len(array.Elements)))
	for i := range array.Elements {
		d.decodeValue(&array.Elements[i], key+"["+strconv.Itoa(i)+"]", into.Index(i))
	}
}

func (d *decoder) decodeBasic(v *hujson.Value, key string, into reflect.Value) {
	literal, ok := v.Value.(hujson.Literal)
	if !ok {
		literal = nil
	}
	text := string(literal)
	switch into.Kind() {
	case reflect.String:
		if literal.Kind() != '"' {
			d.reportWrongType(v, key, "quoted text")
			return
		}
		into.SetString(literal.String())
	case reflect.Bool:
		if text != "true" && text != "false" {
			d.reportWrongType(v, key, "true or false")
			return
		}
		into.SetBool(text == "true")
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		n, err := strconv.ParseInt(text, 10, into.Type().Bits())
		if err != nil {
			d.reportWrongType(v, key, fmt.Sprintf("a whole number of at most %d", int64(math.MaxInt64)>>(64-into.Type().Bits())))
			return
		}
		into.SetInt(n)
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		n, err := strconv.ParseUint(text, 10, into.Type().Bits())
		if err != nil {
			d.reportWrongType(v, key, fmt.Sprintf("a whole number from 0 to %d", uint64(math.MaxUint64)>>(64-into.Type().Bits())))
			return
		}
		into.SetUint(n)
	case reflect.Float32, reflect.Float64:
		n, err := strconv.ParseFloat(text, into.Type().Bits())
		if literal.Kind() != '0' || err != nil {
			d.reportWrongType(v, key, "a number")
			return
		}
		into.SetFloat(n)
	default:
		d.reportWrongType(v, key, "a value of a supported type ("+into.Type().String()+" is not supported)")
	}
}

// reportWrongType reports that v is not of the allowed type.
func (d *decoder) reportWrongType(v *hujson.Value, key, allowed string) {
	found := "an object"
	switch value := v.Value.(type) {
	case *hujson.Array:
		found = "a list"
	case hujson.Literal:
		found = truncate(string(value))
	}
	d.report(v, key, "found "+found+"; allowed is "+allowed)
}

// maxQuotedBytes bounds the part of a wrong value that a message repeats.
const maxQuotedBytes = 60

func truncate(text string) string {
	if len(text) <= maxQuotedBytes {
		return text
	}
	return strings.ToValidUTF8(text[:maxQuotedBytes], "") + "…"
}

func joinPath(key, name string) string {
	if key == "" {
		return name
	}
	return key + "." + name
}

// fieldIndexesByName returns the indexes of the exported fields by JSON name.
func fieldIndexesByName(t reflect.Type) map[string]int {
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
	fields := fieldIndexesByName(t)
	names := make([]string, 0, len(fields))
	for name := range fields {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int { return fields[a] - fields[b] })
	return names
}
