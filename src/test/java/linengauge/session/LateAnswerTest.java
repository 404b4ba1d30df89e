package linengauge.session;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import linengauge.Headend;
import linengauge.Moment;
import linengauge.Outside;
import linengauge.PackageTerms;
import linengauge.Span;
import org.junit.jupiter.api.Test;

/**
 * A front that stood still reads an answer after the wait that it told the box, before its own
 * timer has run.
 */
class LateAnswerTest {
  private final List<String> done = new ArrayList<>();
  private Session out;

  private final Transport carrier =
      new Transport() {
        @Override
        public Timer schedule(Span span, Runnable step) {
          return () -> {};
        }

        @Override
        public void setUp(Session vw, int tuneIn) {
          done.add("set-up " + tuneIn);
          out = vw;
        }

        @Override
        public void changeRung(Session vw) {}

        @Override
        public void cancelAtBox(Session vw, BoxTable.Entry box, int tuneIn) {
          done.add("withdrawn " + tuneIn);
        }

        @Override
        public void probe(BoxTable.Entry box) {}

        @Override
        public void send(int front, byte[] datagram) {}

        @Override
        public void coreFailed(RuntimeException cause) {
          throw cause;
        }
      };

  private final Viewer viewer =
      new Viewer() {
        @Override
        public void started(Session vw) {
          done.add("plays");
        }

        @Override
        public void rejected(Span comeBackAfter, Outside.Refusal reason) {
          done.add("blocked");
        }

        @Override
        public void failed(FailureCause cause) {
          done.add("aborted");
        }

        @Override
        public void ended(EndReason how) {
          done.add("ended");
        }

        @Override
        public Moment lastRequestAt() {
          return Moment.DISTANT_PAST;
        }
      };

  private List<String> answeredAfter(long ms) {
    PackageTerms pack = new PackageTerms(1, Span.ofMillis(800), 1, 0, 1, 0, false);
    Headend house =
        new Headend(
            1,
            0,
            0,
            List.of(pack),
            new double[] {100, 200},
            new double[] {0.5, 1},
            new Headend.Fleet(1, 1, new int[] {50}, 10_000, 5000, 50_000, Span.ofSeconds(1)),
            new Headend.Rules(Span.ofSeconds(5), 0.5, 2, Span.ofSeconds(1), 0, 0, Span.NONE),
            new Headend.Permits(3, false, false, true, 0, 0, 0, Span.ofSeconds(1)));
    SessionManager desk =
        new SessionManager(
            house,
            new SessionManager.Limits(
                10, Span.NONE, Span.NONE, Span.ofMillis(500), Span.ofSeconds(5), Span.NONE),
            1,
            "e",
            carrier);
    desk.updateTime(new Moment(0));
    desk.applyDiscovery(
        1,
        List.of(
            new BoxTable.ListedBox(
                1, "a:1", 2, 0, 0, BoxTable.State.SERVING, 0, Moment.DISTANT_PAST)));
    desk.accept(
        new Session.SessionRequest("t", 0, 0, 0, pack, 1, Span.ofMillis(1000), null), viewer);
    desk.updateTime(new Moment(ms * 1000));
    out.setUpSucceeded(0);
    return done;
  }

  @Test
  void anAnswerInTimePlays() {
    assertEquals(List.of("set-up 0", "plays"), answeredAfter(300));
  }

  @Test
  void oneAfterTheWaitToldToTheBoxIsTakenBackAndDoesNotPlay() {
    assertEquals(List.of("set-up 0", "withdrawn 0"), answeredAfter(500));
  }

  @Test
  void oneAfterTheViewersPatienceIsTakenBackAndTheAnswerIsNo() {
    assertEquals(List.of("set-up 0", "aborted", "withdrawn 0"), answeredAfter(1100));
  }
}
