import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * A server's machine vanishes, and a second later a new server has its address. The list tells
 * of the new one soon, and of the loss of the old one as late as it may. The viewings that played
 * at the old one have to be released within 8 s of their end.
 */
final class ReusedAddress {
  private static final int SERVERS = 13;
  private static final int PLACES = 12;
  private static final int LOST = 4;

  public static void main(String[] args) throws Exception {
    Kit.run(args, ReusedAddress::play);
  }

  private static volatile boolean taken;

  /** A server whose open connections lead nowhere once its machine has vanished. */
  private static final class Vanishing extends Kit.Server {
    Vanishing(int id, int cell) throws Exception {
      super(id, cell, tag -> 0, 1);
    }

    @Override
    void onSilent(Kit.Conn conn, String line) {
      Kit.log("lost on the way to the vanished " + name() + ": " + line);
      if (taken) {
        conn.reset(); // the new machine knows nothing of this connection
      } else {
        // The system sends what was lost again after 0.2, 0.6, 1.4 s, and meets the new machine.
        Kit.TIMERS.schedule(conn::reset, 1400, TimeUnit.MILLISECONDS);
      }
    }
  }

  private static int play() throws Exception {
    Kit.Journal journal = new Kit.Journal();
    List<Kit.Server> servers = new ArrayList<>();
    List<String> rows = new ArrayList<>();
    for (int i = 0; i < SERVERS; i++) {
      Kit.Server server =
          i == LOST
              ? new Vanishing(0x00c41f00 + i, i % PLACES)
              : new Kit.Server(0x00c41f00 + i, i % PLACES, tag -> 0, 64);
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
    Kit.Server old = servers.get(LOST);
    Kit.Server next = null;
    long start = Kit.millis();
    long lostAt = start + 15_000;
    int step = 0;
    List<Kit.Stood> lost = new ArrayList<>();
    for (int i = 0; Kit.millis() < start + 29_000; i++) {
      clients.get(i % 8).setUp("lesson", "7f3a9c21e0b4d60" + i % 4, figures(3 * (i % 4)), 3000);
      Kit.sleep(250);
      long since = Kit.millis() - lostAt;
      if (!Kit.trouble()) {
        continue;
      }
      if (step == 0 && since >= 0) {
        step++;
        old.conns.forEach(conn -> conn.silent = true);
        lost.addAll(old.sessions.values());
        old.sessions.clear();
        lost.forEach(
            stood -> {
              stood.overAt = Kit.millis();
              stood.why = "its machine vanished";
            });
        Kit.log(old.name() + " vanishes with " + lost.size() + " viewings");
        old.stopAccepting();
      } else if (step == 1 && since >= 1000) {
        step++;
        next = old.successor(0x00d51000, tag -> 0);
        taken = true;
        Kit.log(next.name() + " has the address of " + old.name());
      } else if (step == 2 && since >= 2500) {
        step++;
        journal.publish(
            next.name() + " up at the address of " + old.name(),
            Kit.Journal.entry(next, 0, lostAt + 1000));
      } else if (step == 3 && since >= 12_000) {
        step++;
        journal.publish(old.name() + " removed", Kit.Journal.entry(old, 2, 0));
      }
    }
    front.copyLog();
    if (!front.process.isAlive()) {
      Kit.say("the front has ended");
      return Kit.BROKEN;
    }
    int late = 0;
    for (Kit.Stood stood : lost) {
      Kit.Request request = Kit.REQUESTS.get(Long.parseUnsignedLong(stood.tag, 16));
      if (!request.played) {
        continue;
      }
      if (request.releasedAt == 0 || request.releasedAt > stood.overAt + 8050) {
        late++;
        Kit.log(
            "not released in time: " + stood.tag + ", released "
                + (request.releasedAt == 0 ? "never" : request.releasedAt - stood.overAt + " ms after its end"));
      }
    }
    Kit.say(
        lost.size() + " viewings were lost with the server, " + late + " not released within 8 s; set-ups sent to "
            + "the new server under the old one's id are in the record");
    return Kit.trouble() && lost.isEmpty() ? Kit.CANNOT_RUN : late > 0 ? Kit.BROKEN : Kit.HELD;
  }

  private static String figures(int home) {
    return "home:" + home + ";copies:3;top:1;viewer:00000000b4d65521";
  }
}
