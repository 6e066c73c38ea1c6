// Command genproto generates the Go code of the peer protocol from its .proto
// file without an installed protoc. With --check it compares instead of
// writing and exits 1 on a difference.
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

// StaleError reports a generated file that differs from its source.
type StaleError struct{ File string }

// Error implements error.
func (e *StaleError) Error() string {
	return "generated file " + e.File + " is out of date; run make generate"
}

// PluginError reports what a generator plugin answered instead of files.
type PluginError struct{ Plugin, Message string }

// Error implements error.
func (e *PluginError) Error() string { return e.Plugin + ": " + e.Message }

func main() {
	app := kingpin.New("genproto", "Generates Go code from a .proto file.")
	check := app.Flag("check", "Compare with the files on disk and write nothing.").Bool()
	file := app.Arg("file", "The .proto file.").Required().ExistingFile()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	app.FatalIfError(run(*file, *check), "generate")
}

func run(file string, check bool) error {
	request, err := compile(file)
	if err != nil {
		return err
	}
	for _, plugin := range []string{"protoc-gen-go", "protoc-gen-go-drpc"} {
		files, err := runPlugin(plugin, request)
		if err != nil {
			return err
		}
		for _, f := range files {
			if err := emit(filepath.Dir(file), f, check); err != nil {
				return err
			}
		}
	}
	return nil
}

func compile(file string) (*pluginpb.CodeGeneratorRequest, error) {
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

func emit(dir string, f *pluginpb.CodeGeneratorResponse_File, check bool) error {
	path := filepath.Join(dir, f.GetName())
	if !check {
		return errors.WithStack(os.WriteFile(path, []byte(f.GetContent()), 0o644))
	}
	have, err := os.ReadFile(path)
	if err != nil {
		return errors.WithStack(err)
	}
	if !bytes.Equal(have, []byte(f.GetContent())) {
		return &StaleError{File: path}
	}
	return nil
}
