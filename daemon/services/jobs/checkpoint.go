package jobs

import (
	"context"
	"fmt"
	"net/url"
	"slices"
	"time"

	"github.com/flamingobeam/flamingobeam/coord/batch"
	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
	"github.com/flamingobeam/flamingobeam/outside"
)

const (
	// textPrefix is that of the checkpoints of unfinished texts.
	textPrefix = "flamingobeam/job/text/"
	// checkpointEvery is how often the new events of a job's running items are
	// kept: a write costs less than the work of its span.
	checkpointEvery = 1500 * time.Millisecond
	// checkpointLeast is how many events a text must have to be worth it: a
	// shorter one is made again sooner than a late one.
	checkpointLeast = 12
)

func textKey(id string, epoch uint64, number int) string {
	return fmt.Sprintf("%s%s/%08d/%05d", textPrefix, url.PathEscape(id), epoch, number)
}

// textPart is what a text has grown by since the last checkpoint.
type textPart struct {
	Item batch.ItemID `json:"item"`
	// After counts the events before this part.
	After    int                     `json:"after"`
	Events   []string                `json:"events"`
	Versions []structs.WeightVersion `json:"versions"`
	Whole    bool                    `json:"whole,omitempty"`
}

// checkpoint keeps what the texts of a job have grown by, so that an heir goes
// on where this daemon was.
func (s *service) checkpoint(j *job, now time.Time) {
	if j.checkpointing || now.Sub(j.checkpointed) < checkpointEvery {
		return
	}
	var parts []textPart
	size := 0
	for _, it := range j.items {
		if it.listed || it.phase == phaseWaiting && it.held == 0 {
			continue
		}
		part, ok := it.grown()
		if !ok || size > maxChunk {
			continue
		}
		for _, event := range part.Events {
			size += len(event)
		}
		parts = append(parts, part)
	}
	if len(parts) == 0 {
		return
	}
	j.checkpointing, j.checkpointed = true, now
	id, own, number := j.ID, j.own, j.checkpoints
	s.workers.Go(func(ctx context.Context) {
		done := checkpointed{id: id, epoch: own.Epoch, number: number, parts: parts}
		_, done.err = s.ledger.Commit(ctx, outside.Transaction{
			Conditions: []outside.Condition{{Key: ownKey(id), Revision: own.revision}},
			Writes:     []outside.Write{{Key: textKey(id, own.Epoch, number), Value: encode(parts)}},
		})
		if err := s.checkpoints.Post(done); err != nil {
			s.log.WithError(err).WithField("job", id).Error("The outcome of a checkpoint is lost.")
		}
	})
}

// grown is the part of a text that no checkpoint holds.
func (it *item) grown() (textPart, bool) {
	events, versions, isWhole := it.text.EventsFrom(it.kept)
	if it.kept+len(events) < checkpointLeast || len(events) == 0 {
		return textPart{}, false
	}
	return textPart{Item: it.ID, After: it.kept, Events: events, Versions: versions, Whole: isWhole}, true
}

// checkpointed is the outcome of a checkpoint.
type checkpointed struct {
	id     string
	epoch  uint64
	number int
	parts  []textPart
	err    error
}

// checkpointCame takes in the outcome on the control goroutine. A checkpoint
// that may have been written is written again under its own number.
func (s *service) checkpointCame(done checkpointed) {
	j := s.owned[done.id]
	if j == nil || j.own.Epoch != done.epoch {
		return
	}
	j.checkpointing = false
	if done.err != nil {
		s.log.WithError(done.err).WithField("job", j.ID).Info("A checkpoint was not written.")
		return
	}
	j.checkpoints = done.number + 1
	for _, part := range done.parts {
		if it := j.find(part.Item); it != nil && it.kept == part.After {
			it.kept += len(part.Events)
		}
	}
}

// texts reads the unfinished texts of a job from its checkpoints. Parts that do
// not follow on what is there are left out, with all that come after.
func (k *keeper) texts(ctx context.Context, id string) (map[batch.ItemID]*contract.GeneratedText, error) {
	listing, err := k.ledger.List(ctx, textPrefix+url.PathEscape(id)+"/")
	if err != nil {
		return nil, err
	}
	slices.SortFunc(listing.Records, func(a, b outside.Record) int {
		if a.Key < b.Key {
			return -1
		}
		return 1
	})
	texts := make(map[batch.ItemID]*contract.GeneratedText)
	for _, record := range listing.Records {
		var parts []textPart
		if err := decode(record, &parts); err != nil {
			return nil, err
		}
		for _, part := range parts {
			addPart(texts, part)
		}
	}
	return texts, nil
}

func addPart(texts map[batch.ItemID]*contract.GeneratedText, part textPart) {
	held := texts[part.Item]
	if held == nil || part.After == 0 {
		// A text that begins anew replaces one that was given up.
		held = &contract.GeneratedText{}
		texts[part.Item] = held
	}
	if part.After != len(held.Events) {
		return
	}
	held.Events = append(held.Events, part.Events...)
	held.Last = uint64(len(held.Events))
	for _, version := range part.Versions {
		held.Versions = batch.AddVersion(held.Versions, version)
	}
	held.Whole = part.Whole
}
