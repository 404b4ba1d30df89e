package linengauge.scale.hollow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import linengauge.Span;
import linengauge.lease.LeaseSettings;
import linengauge.membership.MembershipSettings;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** No process of a run outlives it, however the run ends. */
@Timeout(value = 60, unit = TimeUnit.SECONDS)
class HollowProcessTest {
  private static final int FIRST_PORT = 26000;

  @TempDir private Path folder;

  private HollowProcess fronts() throws Exception {
    Path key = folder.resolve("key");
    Files.writeString(key, "a key of hollow fronts");
    HollowSpec spec =
        new HollowSpec(
            0,
            HollowPlan.Method.LEASE,
            new HollowPlan.Fleet(5, 1, 1, 1, 1, 1),
            0,
            LeaseSettings.USUAL,
            MembershipSettings.DEFAULT,
            FIRST_PORT,
            new TreeMap<>(),
            new HollowSpec.Files(key.toString(), null));
    return new HollowProcess(spec, "hollow-fronts", 0, 48, folder);
  }

  private static void until(BooleanSupplier done) throws InterruptedException {
    while (!done.getAsBoolean()) {
      Thread.sleep(20);
    }
  }

  /** Guards against a process that stands still when the run is killed, and stays for ever. */
  @Test
  void aProcessThatStandsStillEndsOnceItWakesWhereTheRunIsGone() throws Exception {
    try (HollowProcess process = fronts()) {
      // given
      until(() -> process.last() != null);
      process.say("go");
      // when
      process.freeze(Span.ofSeconds(1));
      process.endInput();
      // then
      until(() -> !process.isAlive());
    }
  }

  @Test
  void aRunThatIsStoppedSaysSoAndLeavesNoProcess() throws Exception {
    // given
    long before = descendants();
    HollowPlan plan =
        new HollowPlan(
            List.of(HollowPlan.Method.GOSSIP),
            new HollowPlan.Fleet(10, 1, 1, 2, 1, 1),
            0,
            LeaseSettings.USUAL,
            MembershipSettings.DEFAULT,
            new HollowPlan.Times(Span.NONE, Span.ofSeconds(60), Span.ofSeconds(30)),
            List.of(),
            48,
            new HollowPlan.Machine(folder, FIRST_PORT));
    try (HollowRun run = new HollowRun(plan)) {
      Thread stops =
          new Thread(
              () -> {
                try {
                  until(() -> descendants() >= before + 2);
                  Thread.sleep(1000);
                } catch (InterruptedException e) {
                  Thread.currentThread().interrupt();
                }
                run.stop();
              });
      stops.start();
      // when
      HollowFigures figures = run.play();
      // then
      assertTrue(figures.partial());
      assertEquals("stopped", figures.cause());
      assertFalse(figures.fleets().isEmpty());
    }
    until(() -> descendants() <= before);
  }

  private static long descendants() {
    return ProcessHandle.current().descendants().filter(ProcessHandle::isAlive).count();
  }
}
