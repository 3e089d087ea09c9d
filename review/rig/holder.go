package main

import (
	"context"
	"errors"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	holderKillAt = 1500 * time.Millisecond // after the account turned hot
	holderDown   = 200 * time.Millisecond
	holderPause  = 6 * time.Second // between two rounds
)

// holderDomains are three failure domains, each with one machine.
var holderDomains = map[string]string{"east-a": "east", "west-a": "west", "south-a": "south"}

// playHolder plays a hot account once for each of three machines, whose process is killed meanwhile and started again.
// One of them is the holder of the account.
func playHolder(r *record, trouble bool) error {
	d, err := newDeployment(holderDomains, quotaBounds)
	if err != nil {
		return err
	}
	defer d.close()
	all := &runs{}
	instances, err := d.quotaFleet(holderDomains, 1, all)
	if err != nil {
		return err
	}
	time.Sleep(quotaSettle)
	r.printf("%d instances are ready", len(instances))
	var result error
	for n, i := range instances {
		all.clear()
		err := playRound(r, instances, i, n+1, trouble, all)
		if err != nil && !errors.Is(err, errBroken) {
			return err
		}
		result = errors.Join(result, err)
		time.Sleep(holderPause)
	}
	return result
}

// playRound plays the hot account while the process of one machine is killed and started again.
func playRound(r *record, instances []*instance, killed *instance, round int, trouble bool, all *runs) error {
	r.printf("round %d", round)
	ctx, cancel := context.WithTimeout(context.Background(), quotaCalm+quotaHotFor)
	defer cancel()
	o := &offers{instances: instances, begun: time.Now(), round: round, sent: make(map[string]time.Time)}
	var group errgroup.Group
	group.Go(func() error { return o.send(ctx) })
	time.Sleep(quotaCalm + holderKillAt)
	if trouble {
		killed.kill()
		r.printf("the process of %s is killed", killed.machine.name)
		time.Sleep(holderDown)
		if err := killed.start(); err != nil {
			return err
		}
		r.printf("it is started again")
	}
	_ = group.Wait()
	return o.judge(r, all.list())
}
