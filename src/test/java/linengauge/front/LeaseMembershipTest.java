package linengauge.front;

import static linengauge.front.FrontFixture.waitUntil;
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

/** A front with a lease from a control machine that runs as a separate process. */
@Timeout(value = 90, unit = TimeUnit.SECONDS)
class LeaseMembershipTest {
  private static final String KEY = "a key of the whole fleet";
  private static final int CONTROL_NUMBER = 60_000;
  private static final int HEARTBEAT_MS = 100;

  @TempDir private Path folder;
  private final List<Process> processes = new ArrayList<>();
  private Path key;
  private List<Integer> ports;

  @BeforeEach
  void prepare() throws Exception {
    key = Files.writeString(folder.resolve("key"), KEY + "\n");
    ports = Ports.free(4);
  }

  @AfterEach
  void stopProcesses() throws Exception {
    for (Process process : processes) {
      process.destroyForcibly().waitFor();
    }
  }

  private static String address(int port) {
    return Ports.HOST + ":" + port;
  }

  private Process startControlMachine() throws Exception {
    Process process =
        new ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xmx48m",
                "-XX:TieredStopAtLevel=1",
                "-cp",
                System.getProperty("java.class.path"),
                Main.class.getName(),
                "control",
                "--number=" + CONTROL_NUMBER,
                "--listen=" + address(ports.get(0)),
                "--machine=" + CONTROL_NUMBER + "=0@" + address(ports.get(0)),
                "--log-listen=" + address(ports.get(1)),
                "--voter=" + CONTROL_NUMBER + "=" + address(ports.get(1)),
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

  private String leaseSettings(Path keyFile) {
    return "lease: { listen: '%s', keyFile: '%s', region: 0, heartbeatMs: %d, control: [ { number: %d, region: 0, address: '%s' } ] }"
        .formatted(
            address(ports.get(2)), keyFile, HEARTBEAT_MS, CONTROL_NUMBER, address(ports.get(0)));
  }

  private LeaseNode startOtherFront(AtomicReference<DirectoryEntry> lastOfFrontZero)
      throws Exception {
    Member member = new Member(1, address(ports.get(3)), 0, 0);
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
            // not covered by this test
          }
        };
    LeaseNode node =
        new LeaseNode(
            LeaseSettings.USUAL.withHeartbeat(Span.ofMillis(HEARTBEAT_MS)),
            member,
            List.of(new ControlMachine(CONTROL_NUMBER, 0, address(ports.get(0)))),
            KEY.getBytes(StandardCharsets.UTF_8),
            listener,
            null);
    node.start();
    return node;
  }

  private static JsonObject leaseState(FrontFixture fixture) {
    return fixture.state().getJsonObject("lease");
  }

  @Test
  void aFrontHoldsALeaseIsListedAndAnnouncesItsDeparture() throws Exception {
    // given
    startControlMachine();
    AtomicReference<DirectoryEntry> seen = new AtomicReference<>();
    try (LeaseNode other = startOtherFront(seen)) {
      // when
      try (FrontFixture fixture = new FrontFixture(1, leaseSettings(key)).start()) {
        // then
        waitUntil(() -> leaseState(fixture).getBoolean("holdsLease", false));
        waitUntil(() -> leaseState(fixture).getJsonArray("present").size() == 2);
        assertEquals("CURRENT", leaseState(fixture).getString("mode"));
        waitUntil(() -> seen.get() != null);
        assertEquals(DirectoryEntry.State.PRESENT, seen.get().state());
        assertEquals(address(ports.get(2)), seen.get().member().address());
      }
      waitUntil(() -> seen.get().state() == DirectoryEntry.State.LEFT);
      assertFalse(other.isSilent());
    }
  }

  /** Guards against a control machine that lists every front anew after its restart. */
  @Test
  void aRestartedControlMachineKeepsTheIncarnationOfTheFront() throws Exception {
    // given
    Process first = startControlMachine();
    try (FrontFixture fixture = new FrontFixture(1, leaseSettings(key)).start()) {
      waitUntil(() -> leaseState(fixture).getBoolean("holdsLease", false));
      long incarnation = leaseState(fixture).getLong("incarnation");
      long version = leaseState(fixture).getLong("version");
      // when
      first.destroy();
      assertTrue(first.waitFor(10, TimeUnit.SECONDS));
      waitUntil(() -> !leaseState(fixture).getBoolean("holdsLease"));
      startControlMachine();
      // then
      waitUntil(() -> leaseState(fixture).getBoolean("holdsLease"));
      assertEquals(incarnation, leaseState(fixture).getLong("incarnation"));
      assertTrue(leaseState(fixture).getLong("version") >= version);
      assertEquals(1, leaseState(fixture).getJsonArray("present").size());
    }
  }

  @Test
  void withoutControlMachinesTheFrontServesWithoutALease() throws Exception {
    try (FrontFixture fixture = new FrontFixture(1, leaseSettings(key)).start()) {
      assertEquals("STARTING", leaseState(fixture).getString("mode"));
      assertEquals(false, leaseState(fixture).getBoolean("holdsLease"));
    }
  }

  @Test
  void aShortKeyFailsTheStart() throws Exception {
    Path tooShort = Files.writeString(folder.resolve("short"), "short");
    try (FrontFixture fixture = new FrontFixture(1, leaseSettings(tooShort))) {
      Exception e =
          assertThrows(Exception.class, () -> FrontFixture.await(fixture.newFront().start(7)));
      assertTrue(
          e.getMessage().contains("lease.keyFile holds a key of fewer than 16 bytes"),
          e.getMessage());
    }
  }

  @Test
  void withoutLeaseSettingsTheStateIsEmpty() throws Exception {
    try (FrontFixture fixture = new FrontFixture(1, "").start()) {
      assertEquals(new JsonObject(), leaseState(fixture));
    }
  }
}
