package jobs

import (
	"context"
	"fmt"
	"net/url"
	"slices"
	"time"

	"github.com/flamingobeam/flamingobeam/coord/batch"
	"github.com/flamingobeam/flamingobeam/coord/resume"
	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
	"github.com/flamingobeam/flamingobeam/outside"
)

const (
	// textPrefix is the key prefix of the checkpoints of unfinished texts.
	textPrefix = "flamingobeam/job/text/"
	// checkpointInterval is the minimum time between two checkpoints of a job.
	// A write costs less than generating the events of one interval again.
	checkpointInterval = 1500 * time.Millisecond
	// minCheckpointEvents is the length from which a text is checkpointed, in
	// events. A shorter text is quickly generated again.
	minCheckpointEvents = 12
)

func textKey(id string, epoch uint64, number int) string {
	return fmt.Sprintf("%s%s/%08d/%05d", textPrefix, url.PathEscape(id), epoch, number)
}

// textPart holds the events that a text has gained since its last checkpoint.
type textPart struct {
	Item batch.ItemID `json:"item"`
	// After is the number of events before this part.
	After    int                     `json:"after"`
	Events   []string                `json:"events"`
	Versions []structs.WeightVersion `json:"versions"`
	Whole    bool                    `json:"whole,omitempty"`
	// Origin is that of the text. It is zero in checkpoints of earlier releases.
	Origin resume.Origin `json:"origin"`
	// text is the text that the part was taken from.
	text *generatedText
}

// checkpointTexts stores the new events of a job's unfinished texts, so that a
// successor resumes generation after them.
func (s *service) checkpointTexts(j *job, now time.Time) {
	if j.isCheckpointing || now.Sub(j.lastCheckpointAt) < checkpointInterval {
		return
	}
	parts := j.uncheckpointedParts()
	if len(parts) == 0 {
		return
	}
	j.isCheckpointing, j.lastCheckpointAt = true, now
	id, ownership, number := j.ID, j.ownership, j.checkpointCount
	s.workers.Go(func(ctx context.Context) {
		outcome := checkpointOutcome{id: id, epoch: ownership.Epoch, number: number, parts: parts}
		_, outcome.err = s.store.Commit(ctx, outside.Transaction{
			Conditions: []outside.Condition{{Key: ownerKey(id), Revision: ownership.revision}},
			Writes:     []outside.Write{{Key: textKey(id, ownership.Epoch, number), Value: encode(parts)}},
		})
		postOutcome(ctx, s, s.checkpointOutcomes, outcome, id)
	})
}

// uncheckpointedParts returns the parts of the job's texts that no checkpoint holds, as many
// as fit in one value of the store, and at least one if there is any.
func (j *job) uncheckpointedParts() []textPart {
	var parts []textPart
	size := 0
	for _, it := range j.items {
		if it.isListed || it.phase == phaseWaiting && it.resumeOffset == 0 {
			continue
		}
		part, ok := it.uncheckpointedPart()
		if !ok {
			continue
		}
		partSize := 0
		for _, event := range part.Events {
			partSize += encodedLen(event) + len(`"",`)
		}
		if len(parts) > 0 && size+partSize > maxChunkBytes {
			continue
		}
		size += partSize
		parts = append(parts, part)
	}
	return parts
}

// uncheckpointedPart returns the part of an item's text that no checkpoint
// holds. It returns false if there is none or the text is too short.
func (it *item) uncheckpointedPart() (textPart, bool) {
	events, versions, isWhole := it.text.EventsFrom(it.checkpointOffset)
	if it.checkpointOffset+len(events) < minCheckpointEvents || len(events) == 0 {
		return textPart{}, false
	}
	return textPart{Item: it.ID, After: it.checkpointOffset, Events: events, Versions: versions, Whole: isWhole, Origin: it.text.Position().Origin, text: it.text}, true
}

// checkpointOutcome is the outcome of a checkpoint write.
type checkpointOutcome struct {
	id     string
	epoch  uint64
	number int
	parts  []textPart
	err    error
}

// handleCheckpoint applies the outcome of a checkpoint on the control
// goroutine. After an error the write may still have been applied, so the next
// checkpoint reuses its number.
func (s *service) handleCheckpoint(outcome checkpointOutcome) {
	j := s.ownedJobs[outcome.id]
	if j == nil || j.ownership.Epoch != outcome.epoch {
		return
	}
	j.isCheckpointing = false
	if outcome.err != nil {
		s.log.WithError(outcome.err).WithField("job", j.ID).Info("Could not write a checkpoint.")
		return
	}
	j.checkpointCount = outcome.number + 1
	for _, part := range outcome.parts {
		if it := j.findItem(part.Item); it != nil && it.text == part.text && it.checkpointOffset == part.After {
			it.checkpointOffset += len(part.Events)
		}
	}
}

// readTexts reads the unfinished texts of a job from its checkpoints. It
// ignores parts that do not directly continue a text.
func (js *jobStore) readTexts(ctx context.Context, id string) (map[batch.ItemID]*contract.Text, error) {
	listing, err := js.store.List(ctx, textPrefix+url.PathEscape(id)+"/")
	if err != nil {
		return nil, err
	}
	slices.SortFunc(listing.Records, func(a, b outside.Record) int {
		if a.Key < b.Key {
			return -1
		}
		return 1
	})
	texts := make(map[batch.ItemID]*contract.Text)
	for _, record := range listing.Records {
		var parts []textPart
		if err := decode(record, &parts); err != nil {
			return nil, err
		}
		for _, part := range parts {
			appendPart(texts, part)
		}
	}
	return texts, nil
}

func appendPart(texts map[batch.ItemID]*contract.Text, part textPart) {
	text := texts[part.Item]
	if text == nil || part.After == 0 {
		// A part that starts at zero replaces a text that was discarded.
		text = &contract.Text{Origin: part.Origin}
		texts[part.Item] = text
	}
	if part.After != len(text.Events) || part.Origin != text.Origin {
		return
	}
	text.Events = append(text.Events, part.Events...)
	text.Last = uint64(len(text.Events))
	for _, version := range part.Versions {
		text.Versions = batch.AddVersion(text.Versions, version)
		text.Version = version
	}
	text.Whole = part.Whole
}
