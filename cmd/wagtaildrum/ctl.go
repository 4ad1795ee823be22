package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/wagtaildrum/wagtaildrum/config"
	"github.com/wagtaildrum/wagtaildrum/operator"
	"github.com/wagtaildrum/wagtaildrum/settings"
	"github.com/wagtaildrum/wagtaildrum/tableservice"
)

// ctlSettings holds the flags that the ctl commands share.
type ctlSettings struct {
	Settings string `long:"settings" short:"s" required:"true" description:"TOML settings file"`
}

// client loads the settings file and returns a client of the platform's table
// service.
func (c *ctlSettings) client() (*tableservice.Client, error) {
	s, err := settings.Load[settings.Ctl](c.Settings)
	if err != nil {
		return nil, err
	}
	return tableservice.NewClient(s.Platform, 5*time.Second), nil
}

// applyCommand is the ctl apply command.
type applyCommand struct {
	ctlSettings
	Confirm bool `long:"confirm" description:"write the plan; without it nothing is written"`
	Args    struct {
		File string `positional-arg-name:"FILE" required:"true" description:"desired configuration (TOML)"`
	} `positional-args:"true"`
}

// Execute prints the changes from the current to the desired configuration. It
// applies them only with --confirm.
func (c *applyCommand) Execute([]string) error {
	tableClient, err := c.client()
	if err != nil {
		return err
	}
	desired, err := operator.ReadDesired(c.Args.File)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	current, err := operator.Current(ctx, tableClient)
	if err != nil {
		return err
	}
	plan := config.MakePlan(current, desired)
	fmt.Print(plan)
	if !c.Confirm {
		fmt.Println("no changes applied; run again with --confirm to apply this plan")
		return nil
	}
	if len(plan.Changes()) == 0 {
		return nil
	}
	ver, err := operator.Apply(ctx, tableClient, plan, desired)
	if err != nil {
		return err
	}
	fmt.Printf("applied as version %d\n", ver)
	return nil
}

// showCommand is the ctl show command.
type showCommand struct{ ctlSettings }

// Execute prints the version of the current configuration and the configuration
// as JSON.
func (c *showCommand) Execute([]string) error {
	tableClient, err := c.client()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	cur, err := operator.Current(ctx, tableClient)
	if err != nil {
		return err
	}
	enc := json.NewEncoder(os.Stdout)
	enc.SetIndent("", "  ")
	fmt.Printf("version %d\n", cur.Version)
	return enc.Encode(cur)
}
