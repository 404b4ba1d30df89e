package linengauge.lease;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;
import java.util.function.IntPredicate;
import java.util.stream.IntStream;
import linengauge.lease.udp.LeaseNode;
import linengauge.membership.Member;
import linengauge.membership.MembershipSettings;
import linengauge.membership.udp.MembershipNode;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Three control machines and five fronts, each a process, with a link of its own from each to each
 * control machine; judged by {@link LeaseRecords} from what they have written down.
 */
class LeaseProcessesTest {
  private static final byte[] KEY = "a key of the whole fleet".getBytes();

  /** A lease at the scale of the test, and what a new leader adds. */
  private static final long LEASE_MS = 6 * LeaseProcesses.HEARTBEAT_MS;

  private static final long TAKEOVER_MS = 2 * LeaseProcesses.HEARTBEAT_MS;

  /** Far more than an expiry takes, on a machine that is busy with something else. */
  private static final long EXPIRED_IN_TIME_MS = 15_000;

  private LeaseProcesses fleet;

  @BeforeEach
  void prepare() throws Exception {
    fleet = new LeaseProcesses();
  }

  @AfterEach
  void stop() throws Exception {
    fleet.close();
  }

  private void startFiveFronts() throws Exception {
    for (int machine = 0; machine < LeaseProcesses.MACHINES; machine++) {
      fleet.startMachine(machine);
    }
    for (int front = 10; front < 15; front++) {
      fleet.startFront(front, "key", true, false);
    }
    allHold(10, 11, 12, 13, 14);
  }

  /** These hold a lease each, and list each other and nobody else. */
  private void allHold(int... fronts) throws InterruptedException {
    IntPredicate holds =
        front ->
            fleet.lastOfFront(front, "holds").path("lease").asBoolean() && lists(front, fronts);
    LeaseProcesses.until(() -> IntStream.of(fronts).allMatch(holds));
  }

  private boolean lists(int front, int... others) {
    return LeaseProcesses.numbers(fleet.lastOfFront(front, "holds").path("present"))
        .equals(setOf(others));
  }

  private static Set<Integer> setOf(int... numbers) {
    Set<Integer> all = new TreeSet<>();
    IntStream.of(numbers).forEach(all::add);
    return all;
  }

  private long incarnation(int front) {
    return fleet.lastOfFront(front, "holds").path("incarnation").asLong();
  }

  private int leader() throws InterruptedException {
    LeaseProcesses.until(() -> fleet.leader() >= 0);
    return fleet.leader();
  }

  private void nothingBroken(Integer... ailing) {
    assertEquals(List.of(), new LeaseRecords(fleet.lives(), Set.of(ailing)).broken());
  }

  @Test
  void frontsThatAreKilledFrozenRestartedOrLeaveAreKnownForWhatTheyAre() throws Exception {
    startFiveFronts();
    long frozenLife = incarnation(12);
    long killedLife = incarnation(11);
    // when one is killed and one stands still
    fleet.signal("f12", "STOP");
    fleet.kill("f11");
    long at = System.currentTimeMillis();
    // then both expire everywhere in time
    allHold(10, 13, 14);
    assertTrue(System.currentTimeMillis() - at < EXPIRED_IN_TIME_MS);
    // when the one wakes and the other is started again
    int before = fleet.ofFront(12).size();
    fleet.signal("f12", "CONT");
    fleet.startFront(11, "key", true, false);
    // then each comes back as a later life, and the woken one believed no lease of the earlier one
    allHold(10, 11, 12, 13, 14);
    assertTrue(incarnation(12) > frozenLife && incarnation(11) > killedLife);
    List<JsonNode> woken = fleet.ofFront(12);
    for (JsonNode line : woken.subList(before, woken.size())) {
      boolean believes = line.path("lease").asBoolean();
      assertFalse(believes && line.path("incarnation").asLong() == frozenLife, line.toString());
    }
    // when one leaves
    fleet.endInput("f13");
    // then it is listed as one that left
    allHold(10, 11, 12, 14);
    assertTrue(
        fleet.ofFront(10).stream()
            .anyMatch(
                line ->
                    line.path("number").asInt() == 13
                        && line.path("state").asText().equals("LEFT")));
    nothingBroken(11, 12);
  }

  @Test
  void controlMachinesThatFailLetNobodyExpireWhomNothingAiled() throws Exception {
    startFiveFronts();
    long life = incarnation(10);
    // when the leading control machine is killed, and comes back
    int first = leader();
    fleet.kill("c" + first);
    LeaseProcesses.until(() -> fleet.leader() >= 0 && fleet.leader() != first);
    Thread.sleep(LEASE_MS + TAKEOVER_MS);
    fleet.startMachine(first);
    allHold(10, 11, 12, 13, 14);
    // when the next one stands still for longer than a lease
    int second = leader();
    fleet.signal("c" + second, "STOP");
    LeaseProcesses.until(() -> fleet.leader() >= 0 && fleet.leader() != second);
    Thread.sleep(LEASE_MS);
    fleet.signal("c" + second, "CONT");
    // when a control machine is not heard by any other, and a front not by its own
    int third = leader();
    fleet.cutMachine((third + 1) % LeaseProcesses.MACHINES, true);
    fleet.cutFront(10, 10 % LeaseProcesses.MACHINES, true);
    Thread.sleep(LEASE_MS + TAKEOVER_MS);
    allHold(10, 11, 12, 13, 14);
    fleet.cutMachine((third + 1) % LeaseProcesses.MACHINES, false);
    fleet.cutFront(10, 10 % LeaseProcesses.MACHINES, false);
    // when all are killed
    for (int machine = 0; machine < LeaseProcesses.MACHINES; machine++) {
      fleet.kill("c" + machine);
    }
    // then views stay, say that they are old, and nobody believes a lease
    for (int front = 10; front < 15; front++) {
      int of = front;
      LeaseProcesses.until(
          () -> fleet.lastOfFront(of, "holds").path("age").asLong() > 2 * LEASE_MS);
      JsonNode holds = fleet.lastOfFront(front, "holds");
      assertEquals("STALE", holds.path("mode").asText());
      assertFalse(holds.path("lease").asBoolean());
      assertTrue(lists(front, 10, 11, 12, 13, 14));
    }
    // when they come back, everybody still lives the same life
    for (int machine = 0; machine < LeaseProcesses.MACHINES; machine++) {
      fleet.startMachine(machine);
    }
    allHold(10, 11, 12, 13, 14);
    assertEquals(life, incarnation(10));
    nothingBroken();
  }

  @Test
  void strangersNoiseAndTheOtherProtocolAreDroppedAloneAndCounted() throws Exception {
    startFiveFronts();
    fleet.startFront(15, "other-key", true, false);
    // when noise, gossip with the fleet's key, and lease datagrams at a gossip port arrive
    noise(fleet.port("c0"));
    noise(fleet.port("f10"));
    String machine = "127.0.0.1:" + fleet.port("c0");
    String front = "127.0.0.1:" + fleet.port("f10");
    Member gossiping = new Member(13, LeaseProcesses.freeAddress(), 0, 0);
    Member leasing = new Member(13, LeaseProcesses.freeAddress(), 0, 0);
    try (MembershipNode gossip =
            new MembershipNode(
                MembershipSettings.DEFAULT, gossiping, List.of(machine, front), KEY, n -> {});
        LeaseNode lease =
            new LeaseNode(
                LeaseSettings.USUAL,
                leasing,
                List.of(new ControlMachine(0, 0, gossiping.address())),
                KEY,
                NOBODY_LISTENS,
                null)) {
      gossip.start();
      lease.start();
      // then each is counted by its cause
      for (String who : List.of("c0", "f10")) {
        LeaseProcesses.until(
            () -> {
              JsonNode drops = fleet.last(who, "holds");
              return drops.path("otherVersions").asLong() > 2
                  && drops.path("strangers").asLong() > 2;
            });
      }
      LeaseProcesses.until(() -> gossip.drops().unreadable() > 1);
      assertEquals(List.of(), gossip.members());
    }
    LeaseProcesses.until(() -> fleet.last("c0", "holds").path("unreadable").asLong() > 0);
    // and nobody has noticed
    allHold(10, 11, 12, 13, 14);
    assertEquals(setOf(), LeaseProcesses.numbers(fleet.lastOfFront(15, "holds").path("present")));
    nothingBroken();
  }

  private static final LeaseNode.Listener NOBODY_LISTENS =
      new LeaseNode.Listener() {
        @Override
        public void changed(DirectoryEntry entry) {
          // of no interest
        }

        @Override
        public void superseded(long incarnation) {
          // of no interest
        }
      };

  /** Half of it with a number that could be, in a version that is, so that the key decides. */
  private static void noise(int port) throws IOException {
    SplittableRandom chance = new SplittableRandom(1);
    InetAddress here = InetAddress.getByName("127.0.0.1");
    try (DatagramSocket socket = new DatagramSocket()) {
      socket.send(new DatagramPacket(new byte[] {2, 0}, 2, here, port)); // cut short
      for (int i = 0; i < 400; i++) {
        byte[] bytes = new byte[chance.nextInt(1, 1500)];
        chance.nextBytes(bytes);
        if (bytes.length > 6 && i % 2 == 0) {
          bytes[0] = 2;
          bytes[1] = 0;
        }
        socket.send(new DatagramPacket(bytes, bytes.length, here, port));
      }
    }
  }

  /** Guards against a step of the changeover after which one half gives up the other. */
  @Test
  void halfAFleetOnTheOldOneAndHalfOnBothHoldEachOther() throws Exception {
    // given three fronts with gossip alone and three with both
    for (int machine = 0; machine < LeaseProcesses.MACHINES; machine++) {
      fleet.startMachine(machine);
    }
    for (int front = 10; front < 16; front++) {
      fleet.startFront(front, "key", front >= 13, true);
    }
    int[] all = IntStream.range(10, 16).toArray();
    LeaseProcesses.until(() -> IntStream.of(all).allMatch(this::combinesAll));
    int[] from = IntStream.of(all).map(front -> fleet.ofFront(front).size()).toArray();
    // when some time passes
    Thread.sleep(2 * LEASE_MS);
    // then nobody was given up by anybody, on either side, not for one look
    for (int i = 0; i < all.length; i++) {
      List<JsonNode> lines = fleet.ofFront(all[i]);
      for (JsonNode line : lines.subList(from[i], lines.size())) {
        assertTrue(!line.has("all") || combinesAll(all[i], line), line.toString());
        assertFalse(line.path("standing").asText().equals("DEAD"), line.toString());
      }
    }
    String combined = fleet.lastOfFront(13, "combined").path("all").toString();
    assertTrue(combined.contains("LEASE") && combined.contains("GOSSIP"), combined);
    // when one of each kind is killed, the others find out
    fleet.kill("f10");
    fleet.kill("f15");
    LeaseProcesses.until(() -> combines(12, 11, 13, 14) && combines(13, 11, 12, 14));
    nothingBroken(15);
  }

  private boolean combinesAll(int front) {
    return combinesAll(front, fleet.lastOfFront(front, "combined"));
  }

  private static boolean combinesAll(int front, JsonNode line) {
    Set<Integer> others = LeaseProcesses.numbers(line.path("all"));
    others.add(front);
    return others.equals(setOf(10, 11, 12, 13, 14, 15));
  }

  private boolean combines(int front, int... others) {
    Set<Integer> held = LeaseProcesses.numbers(fleet.lastOfFront(front, "combined").path("all"));
    held.remove(front);
    return held.equals(setOf(others));
  }
}
