// Command genproto generates the Go code of the peer protocol from its .proto
// file; it needs no installed protoc. With --check it compares the generated
// code with the files on disk, writes nothing and exits with 1 on a difference.
package main

import (
	"bytes"
	"context"
	"os"
	"os/exec"
	"path/filepath"

	"github.com/alecthomas/kingpin/v2"
	"github.com/bufbuild/protocompile"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protodesc"
	"google.golang.org/protobuf/types/descriptorpb"
	"google.golang.org/protobuf/types/pluginpb"
)

// StaleError reports a file on disk that differs from the generated code.
type StaleError struct{ File string }

// Error implements error.
func (e *StaleError) Error() string {
	return "generated file " + e.File + " is out of date; run make generate"
}

// PluginError reports the error that a protoc plugin returned instead of files.
type PluginError struct{ Plugin, Message string }

// Error implements error.
func (e *PluginError) Error() string { return e.Plugin + ": " + e.Message }

func main() {
	app := kingpin.New("genproto", "Generates Go code from a .proto file.")
	check := app.Flag("check", "Compare with the files on disk and write nothing.").Bool()
	file := app.Arg("file", "The .proto file to compile; the generated code is beside it.").Required().ExistingFile()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	app.FatalIfError(generate(*file, *check), "generate")
}

// generate writes the code that every plugin generates from the .proto file
// beside that file. With check it compares instead and returns *StaleError for
// the first file that differs.
func generate(file string, check bool) error {
	request, err := compileRequest(file)
	if err != nil {
		return err
	}
	for _, plugin := range []string{"protoc-gen-go", "protoc-gen-go-drpc"} {
		files, err := runPlugin(plugin, request)
		if err != nil {
			return err
		}
		for _, f := range files {
			if err := writeOrCompare(filepath.Dir(file), f, check); err != nil {
				return err
			}
		}
	}
	return nil
}

// compileRequest compiles the .proto file and returns the request for the
// plugins.
func compileRequest(file string) (*pluginpb.CodeGeneratorRequest, error) {
	compiler := protocompile.Compiler{
		Resolver:       &protocompile.SourceResolver{ImportPaths: []string{filepath.Dir(file)}},
		SourceInfoMode: protocompile.SourceInfoStandard,
	}
	name := filepath.Base(file)
	linked, err := compiler.Compile(context.Background(), name)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	return &pluginpb.CodeGeneratorRequest{
		FileToGenerate: []string{name},
		Parameter:      proto.String("paths=source_relative"),
		ProtoFile:      []*descriptorpb.FileDescriptorProto{protodesc.ToFileDescriptorProto(linked[0])},
	}, nil
}

// runPlugin runs a plugin as a Go tool and returns the files that it generates,
// or *PluginError.
func runPlugin(plugin string, request *pluginpb.CodeGeneratorRequest) ([]*pluginpb.CodeGeneratorResponse_File, error) {
	input, err := proto.Marshal(request)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	cmd := exec.Command("go", "tool", plugin)
	cmd.Stdin = bytes.NewReader(input)
	cmd.Stderr = os.Stderr
	output, err := cmd.Output()
	if err != nil {
		return nil, errors.Wrap(err, plugin)
	}
	var response pluginpb.CodeGeneratorResponse
	if err := proto.Unmarshal(output, &response); err != nil {
		return nil, errors.Wrap(err, plugin)
	}
	if response.GetError() != "" {
		return nil, &PluginError{Plugin: plugin, Message: response.GetError()}
	}
	return response.File, nil
}

// writeOrCompare writes a generated file below dir. With check it returns
// *StaleError instead when the file on disk differs.
func writeOrCompare(dir string, f *pluginpb.CodeGeneratorResponse_File, check bool) error {
	path := filepath.Join(dir, f.GetName())
	if !check {
		return errors.WithStack(os.WriteFile(path, []byte(f.GetContent()), 0o644))
	}
	current, err := os.ReadFile(path)
	if err != nil {
		return errors.WithStack(err)
	}
	if !bytes.Equal(current, []byte(f.GetContent())) {
		return &StaleError{File: path}
	}
	return nil
}
