import java.util.ArrayList;
import java.util.List;

/**
 * The journal service breaks off once and is slow afterwards: whoever asks gets the first frame
 * 3 s later, and everything else in time. A server drains meanwhile. Nothing new may go to it.
 */
final class SlowDiscovery {
  private static final int SERVERS = 13;
  private static final int PLACES = 12;

  public static void main(String[] args) throws Exception {
    Kit.run(args, SlowDiscovery::play);
  }

  private static int play() throws Exception {
    Kit.Journal journal = new Kit.Journal();
    List<Kit.Server> servers = new ArrayList<>();
    List<String> rows = new ArrayList<>();
    for (int i = 0; i < SERVERS; i++) {
      Kit.Server server =
          new Kit.Server(0x00c41f00 + i, i % PLACES, tag -> 18_000 + Math.floorMod(tag.hashCode() * 31, 30_000), 64);
      servers.add(server);
      rows.add(Kit.row(server, "up", 0));
    }
    Kit.Front front =
        new Kit.Front(
            Kit.freePort(),
            512,
            journal.port(),
            String.join(",", rows),
            Kit.settings(3, Kit.LIMITS, Kit.GUARANTEES, Kit.domain(PLACES, 2, SERVERS), Kit.CLASSES));
    List<Kit.Client> clients = new ArrayList<>();
    for (int i = 0; i < 8; i++) {
      clients.add(new Kit.Client(front.port));
    }
    Kit.Server draining = servers.get(5);
    long start = Kit.millis();
    long drainedAt = 0;
    boolean broken = false;
    for (int i = 0; Kit.millis() < start + 40_000; i++) {
      clients
          .get(i % 8)
          .setUp(
              "lesson",
              "7f3a9c21e0b4d60" + i % 4,
              "home:0;copies:" + PLACES + ";top:2;viewer:00000000b4d65521",
              3000);
      Kit.sleep(125);
      if (!broken && Kit.millis() > start + 8000) {
        broken = true;
        if (Kit.trouble()) {
          journal.firstFrameMs = 3000;
          journal.breakOff();
        }
      }
      if (drainedAt == 0 && Kit.millis() > start + 9000) {
        drainedAt = Kit.millis();
        journal.publish(draining.name() + " draining", Kit.Journal.entry(draining, 1, 0));
      }
    }
    front.copyLog();
    int late = 0;
    // Told 4 s after the event at the latest, then the grace of 1 s, and 50 ms for sockets.
    long until = drainedAt + (Kit.trouble() ? 4000 : 0) + 1050;
    for (String[] set : draining.starts) {
      if (Long.parseLong(set[2]) > until) {
        late++;
        Kit.log(
            "sent to a draining server: " + set[0] + ", " + (Long.parseLong(set[2]) - drainedAt)
                + " ms after the event");
      }
    }
    Kit.say(
        "set-ups to the draining server: " + draining.starts.size() + " in all, " + late
            + " after the time that the rule allows");
    return draining.starts.isEmpty() ? Kit.CANNOT_RUN : late > 0 ? Kit.BROKEN : Kit.HELD;
  }
}
