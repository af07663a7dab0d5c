// Command protogen generates Go code from a .proto file with protoc-gen-go. It takes the place of
// protoc, which is no Go program and so cannot be declared as a dependency.
package main

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"

	"github.com/bufbuild/protocompile"
	"github.com/bufbuild/protocompile/protoutil"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/descriptorpb"
	"google.golang.org/protobuf/types/pluginpb"
)

// Permissions of the generated files and their directories.
const (
	filePermissions      = 0o644
	directoryPermissions = 0o755
)

func main() {
	if len(os.Args) != 6 {
		fmt.Fprintln(os.Stderr, "usage: protogen PLUGIN IMPORT_DIRECTORY FILE GO_MODULE OUTPUT_DIRECTORY")
		os.Exit(2)
	}
	if err := generate(os.Args[1], os.Args[2], os.Args[3], os.Args[4], os.Args[5]); err != nil {
		fmt.Fprintln(os.Stderr, "protogen:", err)
		os.Exit(1)
	}
}

// generate compiles the file of the import directory, which must not import others, and writes
// what the plugin generates for it, relative to the Go module, to the output directory.
func generate(plugin, importDirectory, file, module, output string) error {
	descriptor, err := compile(importDirectory, file)
	if err != nil {
		return err
	}
	response, err := runPlugin(plugin, &pluginpb.CodeGeneratorRequest{
		FileToGenerate: []string{file},
		Parameter:      proto.String("module=" + module),
		ProtoFile:      []*descriptorpb.FileDescriptorProto{descriptor},
	})
	if err != nil {
		return err
	}
	for _, generated := range response.GetFile() {
		path := filepath.Join(output, generated.GetName())
		if err := os.MkdirAll(filepath.Dir(path), directoryPermissions); err != nil {
			return err
		}
		if err := os.WriteFile(path, []byte(generated.GetContent()), filePermissions); err != nil {
			return err
		}
	}
	return nil
}

// compile returns the descriptor of a file with its comments.
func compile(importDirectory, file string) (*descriptorpb.FileDescriptorProto, error) {
	compiler := protocompile.Compiler{
		Resolver:       &protocompile.SourceResolver{ImportPaths: []string{importDirectory}},
		SourceInfoMode: protocompile.SourceInfoStandard,
	}
	files, err := compiler.Compile(context.Background(), file)
	if err != nil {
		return nil, fmt.Errorf("compiling %s: %w", file, err)
	}
	return protoutil.ProtoFromFileDescriptor(files[0]), nil
}

// runPlugin runs a protoc plugin on a request and returns its response.
func runPlugin(plugin string, request *pluginpb.CodeGeneratorRequest) (*pluginpb.CodeGeneratorResponse, error) {
	input, err := proto.Marshal(request)
	if err != nil {
		return nil, fmt.Errorf("encoding the request: %w", err)
	}
	command := exec.Command(plugin)
	command.Stdin = bytes.NewReader(input)
	command.Stderr = os.Stderr
	data, err := command.Output()
	if err != nil {
		return nil, fmt.Errorf("running %s: %w", plugin, err)
	}
	response := &pluginpb.CodeGeneratorResponse{}
	if err := proto.Unmarshal(data, response); err != nil {
		return nil, fmt.Errorf("decoding the response: %w", err)
	}
	if message := strings.TrimSpace(response.GetError()); message != "" {
		return nil, fmt.Errorf("%s: %s", plugin, message)
	}
	return response, nil
}
