package linengauge.consensus;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import linengauge.Moment;
import linengauge.Span;
import linengauge.consensus.RaftMessage.Kind;
import org.junit.jupiter.api.Test;

/** One voter of three, told word by word what the others say. */
class RaftNodeTest {
  private static final StateMachine NOTHING =
      new StateMachine() {
        @Override
        public void apply(long index, long author, byte[] decision) {
          // only how many there are is looked at
        }

        @Override
        public byte[] whole() {
          return new byte[0];
        }

        @Override
        public void restore(byte[] whole) {
          // nothing is held
        }
      };

  private final List<RaftMessage> sent = new ArrayList<>();
  private final List<RaftMessage> answers = new ArrayList<>();
  private final Voters three = founding();
  private final RaftNode voter =
      new RaftNode(
          RaftSettings.USUAL,
          0,
          PersistentState.founding(100, three, NOTHING),
          NOTHING,
          1,
          new RaftNode.Port() {
            @Override
            public void save(PersistentState saved) {
              // lasts
            }

            @Override
            public void send(int to, RaftMessage word) {
              sent.add(word);
            }

            @Override
            public void answer(long asker, RaftMessage word) {
              answers.add(word);
            }
          });
  private Moment now = new Moment(0);

  RaftNodeTest() {
    voter.start(now);
  }

  private static Voters founding() {
    TreeMap<Integer, Voters.Chair> chairs = new TreeMap<>();
    for (int i = 0; i < 3; i++) {
      chairs.put(i, new Voters.Chair(100 + i, "10.0.0." + i + ":7", true));
    }
    return new Voters(chairs);
  }

  private static RaftMessage from(int number, Kind kind, long term) {
    return RaftMessage.of(kind, number, 100 + number, term);
  }

  /**
   * 1 leads that term and says that these are the entries after the given one, all decided up to
   * there.
   */
  private void append(long term, long before, long beforeTerm, long commit, Entry... entries) {
    voter.heard(
        now,
        from(1, Kind.APPEND, term)
            .at(before, beforeTerm)
            .committed(commit, 0)
            .with(List.of(entries)));
  }

  /** 1 leads term 1 and sends its state up to that entry. */
  private void install(long index, long commit) {
    byte[] state = PersistentState.founding(5, three, NOTHING).base();
    voter.heard(now, from(1, Kind.INSTALL, 1).at(index, 1).committed(commit, 0).whole(state));
  }

  private static Entry decision(long term, long number) {
    return new Entry(term, Entry.Kind.DECISION, 9, number, new byte[] {1});
  }

  private RaftMessage last(List<RaftMessage> of) {
    return of.get(of.size() - 1);
  }

  /** It leads, and 1 and 2 have taken all it has. */
  private void leads() {
    now = now.plus(Span.ofSeconds(2));
    voter.step(now);
    voter.heard(now, from(1, Kind.WOULD, 1).yes(true));
    voter.heard(now, from(1, Kind.VOTED, 1).yes(true));
    assertEquals(RaftNode.Role.LEADER, voter.role());
    taken(1);
    taken(2);
  }

  private void taken(int by) {
    voter.heard(now, from(by, Kind.TAKEN, 1).yes(true).at(voter.last(), 0));
  }

  @Test
  void anOldStateIsPassedOverWhateverItIsCalled() {
    append(1, 1, 0, 4, Entry.blank(1), decision(1, 1), decision(1, 2));
    assertEquals(4, voter.decided().index());
    Entry third = voter.entry(3);
    install(2, 4);
    assertEquals(4, voter.decided().index());
    assertEquals(4, voter.commit());
    assertEquals(third, voter.entry(3));
    assertTrue(last(sent).yes());
    assertEquals(4, last(sent).index());
  }

  @Test
  void aNewerStateKeepsWhatLiesBeyondIt() {
    append(1, 1, 0, 1, Entry.blank(1), decision(1, 1), decision(1, 2));
    assertEquals(4, voter.last());
    install(3, 3);
    assertEquals(3, voter.commit());
    assertEquals(decision(1, 2), voter.entry(4), "it said that it has it, and is counted for it");
  }

  @Test
  void whoKnowsLessThanIsDecidedSaysThatItsWordIsOld() {
    append(1, 1, 0, 1);
    voter.ask(now, 7, from(40, Kind.FOLLOW, 0).at(1, 0));
    assertEquals(0, last(answers).age());
    now = now.plus(Span.ofMillis(500));
    append(1, 5, 1, 5); // entries are missing: not taken
    voter.ask(now, 7, from(40, Kind.FOLLOW, 0).at(1, 0));
    assertEquals(500_000, last(answers).age(), "as old as the last word of which it knew all");
  }

  /**
   * Guards against a new leader that calls its word fresh while it does not know what earlier
   * leaders decided last.
   */
  @Test
  void aNewLeadersWordIsOldUntilItHasDecidedInItsOwnTerm() {
    append(1, 1, 0, 1);
    stepFor(Span.ofSeconds(2));
    voter.heard(now, from(1, Kind.WOULD, 2).yes(true));
    voter.heard(now, from(1, Kind.VOTED, 2).yes(true));
    assertEquals(RaftNode.Role.LEADER, voter.role());
    assertEquals(2_000_000, last(sent).age(), "its beat is as old as the last leader's word");
    voter.ask(now, 7, from(40, Kind.FOLLOW, 0).at(1, 0));
    assertEquals(2_000_000, last(answers).age(), "and so is what it tells whoever follows");
    voter.heard(now, from(1, Kind.TAKEN, 2).yes(true).at(voter.last(), 0));
    voter.ask(now, 7, from(40, Kind.FOLLOW, 0).at(1, 0));
    assertEquals(0, last(answers).age());
  }

  /** Time goes on, and the voter is stepped whenever it wants to be. */
  private void stepFor(Span span) {
    Moment end = now.plus(span);
    while (voter.next().isBefore(end)) {
      now = voter.next().max(now);
      voter.step(now);
    }
    now = end;
    voter.step(now);
  }

  /** Guards against messages that queued while this process stood still, taken for just sent. */
  @Test
  void aVoterThatStoodStillDoesNotCallQueuedWordsFresh() {
    append(1, 1, 0, 1);
    now = now.plus(Span.ofSeconds(5)); // nothing ran
    append(1, 1, 0, 1); // sent at any time within these five seconds
    voter.ask(now, 7, from(40, Kind.FOLLOW, 0).at(1, 0));
    assertEquals(5_000_000, last(answers).age());
    now = now.plus(RaftSettings.USUAL.election());
    append(1, 1, 0, 1);
    voter.ask(now, 7, from(40, Kind.FOLLOW, 0).at(1, 0));
    assertEquals(0, last(answers).age(), "the queue is through");
  }

  @Test
  void noStepAfterWhichNothingCouldBeDecided() {
    leads();
    now = now.plus(Span.ofMillis(500));
    taken(1);
    now = now.plus(Span.ofMillis(200)); // 2 has not been heard for 700 ms
    assertEquals(-1, voter.change(now, three.without(1)), "with 2 alone it would have no majority");
    assertTrue(voter.change(now, three.without(2)) > 0);
  }

  @Test
  void onlySoMuchMayWaitForAMajority() {
    leads();
    int placed = 0;
    while (voter.propose(now, 9, placed + 1, new byte[16]) > 0) {
      placed++;
    }
    assertEquals(RaftSettings.USUAL.mostOpen(), placed);
    taken(1);
    assertTrue(voter.propose(now, 9, placed + 1, new byte[16]) > 0, "decided, they wait no longer");
  }

  @Test
  void whoHasLessThanItSaidIsAskedWithTheNextBeatAlone() {
    leads();
    voter.propose(now, 9, 1, new byte[16]);
    taken(1);
    int before = sent.size();
    for (int i = 0; i < 50; i++) {
      voter.heard(now, from(1, Kind.TAKEN, 1).at(0, 0));
    }
    assertEquals(before, sent.size());
    assertEquals(3, voter.commit(), "and nothing is taken back");
  }
}
