package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/wagtaildrum/wagtaildrum/workload"
)

// playCommand is the play command.
type playCommand struct {
	Entry   string        `long:"entry" default:"http://127.0.0.1:8080" description:"base URL of an entry instance"`
	Timeout time.Duration `long:"timeout" default:"2m" description:"stop playing after this long"`
	Session string        `long:"session" description:"also write the whole session as JSON to this file"`
	Args    struct {
		Files []string `positional-arg-name:"FILE" required:"1" description:"workload files (TOML)"`
	} `positional-args:"true"`
}

// Execute plays the workload files one after another and prints the outcome and
// the total latency of each program.
func (c *playCommand) Execute([]string) error {
	ctx, cancel := context.WithTimeout(context.Background(), c.Timeout)
	defer cancel()
	var sessions []*workload.Session
	for _, f := range c.Args.Files {
		s, err := workload.Load(f)
		if err != nil {
			return err
		}
		ses := workload.NewPlayer(c.Entry).Play(ctx, s)
		sessions = append(sessions, ses)
		fmt.Printf("workload %s\n", s.Name)
		for _, o := range ses.Outcomes {
			fmt.Printf("  program %-28s calls=%d failed=%d spent=%d/%d state=%s latency=%s\n",
				o.Program, o.Calls, o.Failed, o.Final.SpentTokens, o.Final.BudgetTokens, o.Final.State, o.Latency.Round(time.Millisecond))
		}
	}
	if c.Session != "" {
		b, _ := json.MarshalIndent(sessions, "", "  ")
		return os.WriteFile(c.Session, b, 0o644)
	}
	return nil
}
