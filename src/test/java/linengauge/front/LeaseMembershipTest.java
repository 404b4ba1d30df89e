package linengauge.front;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.json.JsonObject;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import linengauge.Span;
import linengauge.cli.Main;
import linengauge.drill.Ports;
import linengauge.lease.ControlMachine;
import linengauge.lease.DirectoryEntry;
import linengauge.lease.LeaseSettings;
import linengauge.lease.udp.LeaseNode;
import linengauge.membership.Member;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** A front with a lease, kept by a control machine that is a process of the program. */
@Timeout(value = 90, unit = TimeUnit.SECONDS)
class LeaseMembershipTest {
  private static final String KEY = "a key of the whole fleet";
  private static final int CONTROL = 60_000;
  private static final int HEARTBEAT_MS = 100;

  @TempDir private Path folder;
  private final List<Process> processes = new ArrayList<>();
  private Path key;
  private List<Integer> ports;

  @BeforeEach
  void given() throws Exception {
    key = Files.writeString(folder.resolve("key"), KEY + "\n");
    ports = Ports.free(4);
  }

  @AfterEach
  void stop() throws Exception {
    for (Process process : processes) {
      process.destroyForcibly().waitFor();
    }
  }

  private static String at(int port) {
    return Ports.HOST + ":" + port;
  }

  private Process controlMachine() throws Exception {
    Process process =
        new ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xmx48m",
                "-XX:TieredStopAtLevel=1",
                "-cp",
                System.getProperty("java.class.path"),
                Main.class.getName(),
                "control",
                "--number=" + CONTROL,
                "--listen=" + at(ports.get(0)),
                "--machine=" + CONTROL + "=0@" + at(ports.get(0)),
                "--log-listen=" + at(ports.get(1)),
                "--voter=" + CONTROL + "=" + at(ports.get(1)),
                "--store=" + folder.resolve("store"),
                "--found",
                "--key-file=" + key,
                "--heartbeat-ms=" + HEARTBEAT_MS)
            .redirectErrorStream(true)
            .redirectOutput(folder.resolve("control-" + processes.size() + ".log").toFile())
            .start();
    processes.add(process);
    return process;
  }

  private String section(Path keyFile) {
    return "lease: { listen: '%s', keyFile: '%s', region: 0, heartbeatMs: %d, control: [ { number: %d, region: 0, address: '%s' } ] }"
        .formatted(at(ports.get(2)), keyFile, HEARTBEAT_MS, CONTROL, at(ports.get(0)));
  }

  private LeaseNode otherFront(AtomicReference<DirectoryEntry> lastOfFrontZero) throws Exception {
    Member member = new Member(1, at(ports.get(3)), 0, 0);
    LeaseNode.Listener listener =
        new LeaseNode.Listener() {
          @Override
          public void changed(DirectoryEntry entry) {
            if (entry.member().number() == 0) {
              lastOfFrontZero.set(entry);
            }
          }

          @Override
          public void superseded(long incarnation) {
            // not of this test
          }
        };
    LeaseNode node =
        new LeaseNode(
            LeaseSettings.USUAL.withHeartbeat(Span.ofMillis(HEARTBEAT_MS)),
            member,
            List.of(new ControlMachine(CONTROL, 0, at(ports.get(0)))),
            KEY.getBytes(StandardCharsets.UTF_8),
            listener,
            null);
    node.start();
    return node;
  }

  private static JsonObject lease(FrontFixture rig) {
    return rig.state().getJsonObject("lease");
  }

  @Test
  void aFrontHoldsALeaseIsSeenByAnotherAndSaysThatItLeaves() throws Exception {
    // given
    controlMachine();
    AtomicReference<DirectoryEntry> seen = new AtomicReference<>();
    try (LeaseNode other = otherFront(seen)) {
      // when
      try (FrontFixture rig = new FrontFixture(1, section(key)).start()) {
        // then
        FrontFixture.until(() -> lease(rig).getBoolean("holdsLease", false));
        FrontFixture.until(() -> lease(rig).getJsonArray("present").size() == 2);
        assertEquals("CURRENT", lease(rig).getString("mode"));
        FrontFixture.until(() -> seen.get() != null);
        assertEquals(DirectoryEntry.State.PRESENT, seen.get().state());
        assertEquals(at(ports.get(2)), seen.get().member().address());
      }
      FrontFixture.until(() -> seen.get().state() == DirectoryEntry.State.LEFT);
      assertFalse(other.isSilent());
    }
  }

  /**
   * Guards against a fleet that is listed anew, front by front, after its control machine's
   * restart.
   */
  @Test
  void aControlMachineThatIsRestartedStillListsTheFrontInTheSameLife() throws Exception {
    // given
    Process first = controlMachine();
    try (FrontFixture rig = new FrontFixture(1, section(key)).start()) {
      FrontFixture.until(() -> lease(rig).getBoolean("holdsLease", false));
      long incarnation = lease(rig).getLong("incarnation");
      long version = lease(rig).getLong("version");
      // when
      first.destroy();
      assertTrue(first.waitFor(10, TimeUnit.SECONDS));
      FrontFixture.until(() -> !lease(rig).getBoolean("holdsLease"));
      controlMachine();
      // then
      FrontFixture.until(() -> lease(rig).getBoolean("holdsLease"));
      assertEquals(incarnation, lease(rig).getLong("incarnation"));
      assertTrue(lease(rig).getLong("version") >= version);
      assertEquals(1, lease(rig).getJsonArray("present").size());
    }
  }

  @Test
  void withoutControlMachinesTheFrontServesAndSaysThatItHoldsNothing() throws Exception {
    try (FrontFixture rig = new FrontFixture(1, section(key)).start()) {
      assertEquals("STARTING", lease(rig).getString("mode"));
      assertEquals(false, lease(rig).getBoolean("holdsLease"));
    }
  }

  @Test
  void withAKeyThatIsNoneItDoesNotStart() throws Exception {
    Path tooShort = Files.writeString(folder.resolve("short"), "short");
    try (FrontFixture rig = new FrontFixture(1, section(tooShort))) {
      Exception e = assertThrows(Exception.class, () -> FrontFixture.await(rig.program().start(7)));
      assertTrue(
          e.getMessage().contains("lease.keyFile holds a key of fewer than 16 bytes"),
          e.getMessage());
    }
  }

  @Test
  void withoutTheSectionNothingIsSaidOfIt() throws Exception {
    try (FrontFixture rig = new FrontFixture(1, "").start()) {
      assertEquals(new JsonObject(), lease(rig));
    }
  }
}
