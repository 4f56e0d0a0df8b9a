package rattancmd

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
)

// The formats of --output.
const (
	outputTable = "table"
	outputJSON  = "json"
)

// print writes message as JSON, or header and rows as a table, as --output says.
func (c *config) print(message proto.Message, header []string, rows func() [][]string) error {
	if c.output == outputJSON {
		return c.printJSON(message)
	}
	return c.printTable(header, rows())
}

func (c *config) printTable(header []string, rows [][]string) error {
	writer := tabwriter.NewWriter(c.stdout, 0, 8, 2, ' ', 0)
	fmt.Fprintln(writer, strings.Join(header, "\t"))
	for _, row := range rows {
		fmt.Fprintln(writer, strings.Join(row, "\t"))
	}
	return errors.Wrap(writer.Flush(), "write output")
}

// printValue writes a value that is not a protobuf message as JSON.
func (c *config) printValue(value any) error {
	encoder := json.NewEncoder(c.stdout)
	encoder.SetIndent("", "  ")
	return errors.Wrap(encoder.Encode(value), "write output")
}

func (c *config) printJSON(message proto.Message) error {
	text, err := protojson.MarshalOptions{UseProtoNames: true, EmitUnpopulated: true, Indent: "  "}.Marshal(message)
	if err != nil {
		return errors.Wrap(err, "encode output")
	}
	_, err = fmt.Fprintln(c.stdout, string(text))
	return errors.Wrap(err, "write output")
}

func yesNo(value bool) string {
	if value {
		return "yes"
	}
	return "no"
}
