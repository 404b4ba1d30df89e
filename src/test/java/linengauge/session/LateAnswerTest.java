package linengauge.session;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import linengauge.Deployment;
import linengauge.Environment;
import linengauge.Moment;
import linengauge.PackageSettings;
import linengauge.Span;
import org.junit.jupiter.api.Test;

/**
 * Guards against a set-up that is taken as playing though the box, which was sent the time limit of
 * the tune-in, no longer holds it. After a process pause a front may read such a late answer before
 * its own timer has run.
 */
class LateAnswerTest {
  private final List<String> done = new ArrayList<>();
  private Session sentSession;

  private final Transport transport =
      new Transport() {
        @Override
        public Timer schedule(Span span, Runnable step) {
          return () -> {};
        }

        @Override
        public void setUp(Session session, int tuneIn) {
          done.add("set-up " + tuneIn);
          sentSession = session;
        }

        @Override
        public void changeRung(Session session) {}

        @Override
        public void cancelAtBox(Session session, BoxTable.Entry box, int tuneIn) {
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
        public void started(Session session) {
          done.add("plays");
        }

        @Override
        public void rejected(Span retryAfter, Environment.RejectionReason reason) {
          done.add("blocked");
        }

        @Override
        public void failed(FailureCause cause) {
          done.add("aborted");
        }

        @Override
        public void ended(EndReason reason) {
          done.add("ended");
        }

        @Override
        public Moment lastRequestAt() {
          return Moment.DISTANT_PAST;
        }
      };

  private List<String> answeredAfter(long millis) {
    PackageSettings packageSettings = new PackageSettings(1, Span.ofMillis(800), 1, 0, 1, 0, false);
    Deployment deployment =
        new Deployment(
            1,
            0,
            0,
            List.of(packageSettings),
            new double[] {100, 200},
            new double[] {0.5, 1},
            new Deployment.Fleet(1, 1, new int[] {50}, 10_000, 5000, 50_000, Span.ofSeconds(1)),
            new Deployment.Rules(Span.ofSeconds(5), 0.5, 2, Span.ofSeconds(1), 0, 0, Span.NONE),
            new Deployment.Permissions(3, false, false, true, 0, 0, 0, Span.ofSeconds(1)));
    SessionManager manager =
        new SessionManager(
            deployment,
            new SessionManager.Limits(
                10, Span.NONE, Span.NONE, Span.ofMillis(500), Span.ofSeconds(5), Span.NONE),
            1,
            "e",
            transport);
    manager.updateTime(new Moment(0));
    manager.applyDiscovery(
        1,
        List.of(
            new BoxTable.ListedBox(
                1, "a:1", 2, 0, 0, BoxTable.State.SERVING, 0, Moment.DISTANT_PAST)));
    manager.accept(
        new Session.SessionRequest("t", 0, 0, 0, packageSettings, 1, Span.ofMillis(1000), null),
        viewer);
    manager.updateTime(new Moment(millis * 1000));
    sentSession.setUpSucceeded(0);
    return done;
  }

  @Test
  void anAnswerInTimePlays() {
    assertEquals(List.of("set-up 0", "plays"), answeredAfter(300));
  }

  @Test
  void anAnswerAfterTheTuneInTimeoutIsCancelledAndDoesNotPlay() {
    assertEquals(List.of("set-up 0", "withdrawn 0"), answeredAfter(500));
  }

  @Test
  void anAnswerAfterTheDeadlineIsCancelledAndTheRequestFails() {
    assertEquals(List.of("set-up 0", "aborted", "withdrawn 0"), answeredAfter(1100));
  }
}
