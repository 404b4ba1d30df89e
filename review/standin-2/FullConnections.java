import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * A front with 256 descriptors and 160 servers has as many connections to servers as it may. Then
 * servers reset idle connections, one a second, and go on. What comes to its end at them
 * afterwards has to be released to its viewer.
 */
final class FullConnections {
  private static final int SERVERS = 160;
  private static final int PLACES = 12;
  private static final int RATE = 25;
  private static final int WARM_UP_S = 35;
  private static final int RESETS = 20;
  private static final int AFTER_S = 40;

  public static void main(String[] args) throws Exception {
    Kit.run(args, FullConnections::play);
  }

  private static int play() throws Exception {
    Random random = new Random(7);
    Kit.Journal journal = new Kit.Journal();
    List<Kit.Server> servers = new ArrayList<>();
    List<String> rows = new ArrayList<>();
    for (int i = 0; i < SERVERS; i++) {
      // A viewing of `lesson` lasts 18 to 48 s.
      Kit.Server server =
          new Kit.Server(
              0x00c41f00 + i, i % PLACES, tag -> 18_000 + Math.floorMod(tag.hashCode() * 31, 30_000), 64);
      server.setUpMs = 80;
      servers.add(server);
      rows.add(Kit.row(server, "up", 0));
    }
    Kit.Front front =
        new Kit.Front(
            Kit.freePort(),
            256,
            journal.port(),
            String.join(",", rows),
            Kit.settings(100, Kit.LIMITS, Kit.GUARANTEES, Kit.domain(PLACES, 23, SERVERS), Kit.CLASSES));
    List<Kit.Client> clients = new ArrayList<>();
    for (int i = 0; i < 30; i++) {
      clients.add(new Kit.Client(front.port));
    }
    long start = Kit.millis();
    int sent = 0;
    int resets = 0;
    while (Kit.millis() < start + 1000L * (WARM_UP_S + AFTER_S)) {
      long now = Kit.millis();
      while (sent < (now - start) * RATE / 1000) {
        clients
            .get(sent % 30)
            .setUp(
                "lesson",
                String.format("7f3a9c21e0b4d%03x", random.nextInt(200)),
                "home:" + random.nextInt(PLACES) + ";copies:" + PLACES + ";top:1;viewer:00000000b4d65521",
                3000);
        sent++;
      }
      if (Kit.trouble() && resets < RESETS && now > start + 1000L * (WARM_UP_S + resets)) {
        resets += resetIdle(servers, random) ? 1 : 0;
      }
      Kit.sleep(10);
    }
    Kit.sleep(500);
    front.copyLog();
    if (!front.process.isAlive()) {
      Kit.say("the front has ended");
      return Kit.BROKEN;
    }
    int used = 0;
    for (Kit.Server server : servers) {
      used += server.conns.size();
    }
    long now = Kit.millis();
    int over = 0;
    int late = 0;
    for (Kit.Stood stood : Kit.STOOD.values()) {
      Kit.Request request = Kit.REQUESTS.get(Long.parseUnsignedLong(stood.tag, 16));
      if (!stood.why.equals("came to its end") || request == null || !request.played) {
        continue;
      }
      over++;
      // Released within 8 s of its end, and 50 ms for sockets.
      long until = stood.overAt + 8050;
      if (request.releasedAt == 0 ? now > until : request.releasedAt > until) {
        late++;
        Kit.log(
            "not released in time: " + stood.tag + " at " + stood.server.name() + ", over at " + stood.overAt
                + ", released " + (request.releasedAt == 0 ? "never, " + (now - stood.overAt) + " ms later"
                    : request.releasedAt - stood.overAt + " ms after its end"));
      }
    }
    Kit.say(
        sent + " requests, " + Kit.STOOD.size() + " viewings stood, " + over + " came to their end, " + resets
            + " idle connections reset, " + used + " connections to servers at the end; not released within 8 s: "
            + late);
    return over < 100 ? Kit.CANNOT_RUN : late > 0 ? Kit.BROKEN : Kit.HELD;
  }

  /** Resets one idle connection of a server that has viewings, and goes on. */
  private static boolean resetIdle(List<Kit.Server> servers, Random random) {
    int first = random.nextInt(SERVERS);
    for (int i = 0; i < SERVERS; i++) {
      Kit.Server server = servers.get((first + i) % SERVERS);
      if (server.conns.size() == 1 && server.sessions.size() >= 3 && server.conns.get(0).setUps.isEmpty()) {
        Kit.log(server.name() + " resets its idle connection; " + server.sessions.size() + " viewings play on");
        server.conns.get(0).reset();
        return true;
      }
    }
    return false;
  }
}
