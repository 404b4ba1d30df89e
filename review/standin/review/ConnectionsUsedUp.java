package review;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * A front that may hold 256 descriptors plays at many servers, which close connections that rest.
 * What ends at a server has to reach its viewer within 8 s.
 */
final class ConnectionsUsedUp {
  private static final int SERVERS = 120;
  private static final int PLACES = 12;
  private static final int DESCRIPTORS = 256;
  private static final long IDLE_CLOSE_MS = 5_000;
  private static final long RELEASE_LIMIT_MS = 8_050;

  private ConnectionsUsedUp() {}

  public static void main(String[] arguments) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    int result = 2;
    try (Bench bench = new Bench(Path.of(arguments[0]))) {
      result = play(bench, trouble);
    } catch (Exception e) {
      System.out.println("could not run: " + e);
    }
    System.exit(result);
  }

  private static int play(Bench bench, boolean trouble) throws Exception {
    long seed = Long.getLong("seed", System.nanoTime());
    bench.say("seed %d, %s", seed, trouble ? "with the disruption" : "without the disruption");
    SplittableRandom random = new SplittableRandom(seed);
    Viewers[] viewers = new Viewers[1];
    Server.Observer observer = new Server.Observer() {
      @Override
      public void over(Server server, String id, String why) {
        Viewers.Request request = viewers[0].requests.get(id);
        if (request != null) {
          request.overWhy = why;
          request.overAt = bench.now();
        }
      }
    };
    List<Server> servers = new ArrayList<>();
    for (int i = 0; i < SERVERS; i++) {
      Server server = bench.part(new Server(bench, 0xc41f00 + i, i % PLACES, 15 + i % 7,
          30_000, observer));
      server.idleCloseMs = trouble ? IDLE_CLOSE_MS : 0;
      servers.add(server);
    }
    Journal journal = bench.part(new Journal(bench));
    int port = Bench.freePort();
    Process front = bench.startFront("n0", port,
        Bench.configuration(port, journal.port, DESCRIPTORS, 3, PLACES, servers));
    viewers[0] = bench.part(new Viewers(bench, port, 8));

    long begin = bench.now();
    long pace = 100;
    for (long at = 0, number = 1; at < 60_000; at += at < 8_000 ? 50 : pace, number++) {
      String id = String.format("%016x", random.nextLong() | 1L << 60);
      int home = random.nextInt(PLACES);
      String title = String.format("7f3a9c21e0b4%04x", home * 16 + random.nextInt(16));
      String figures = String.format("home:%d;copies:4;top:4;viewer:%016x", home, number);
      boolean review = random.nextInt(100) < 35;
      bench.after(begin + at - bench.now(), () -> {
        try {
          viewers[0].ask(id, review ? "season-review" : "lesson", title, 3000, figures);
        } catch (java.io.IOException e) {
          bench.log("viewers: cannot ask: %s", e);
        }
      });
    }
    for (int i = 0; i < 14; i++) {
      Thread.sleep(5000);
      int connections = 0;
      int cutOff = 0;
      int standing = 0;
      for (Server server : servers) {
        connections += server.connectionCount();
        standing += server.playingCount();
        cutOff += server.connectionCount() == 0 ? server.playingCount() : 0;
      }
      bench.log("state: %d connections to servers, %d sessions stand, %d of them at servers without a connection",
          connections, standing, cutOff);
    }

    int played = 0;
    int late = 0;
    int standing = 0;
    int unanswered = 0;
    int refused = 0;
    for (Viewers.Request request : viewers[0].requests.values()) {
      unanswered += request.answers != 1 ? 1 : 0;
      refused += request.answer == 12 ? 1 : 0;
      if (request.answer != 9) {
        continue;
      }
      played++;
      if (request.overAt < 0 || bench.now() < request.overAt + RELEASE_LIMIT_MS) {
        continue;
      }
      if (request.releasedAt < 0 || request.releasedAt > request.overAt + RELEASE_LIMIT_MS) {
        late++;
        standing += request.releasedAt < 0 ? 1 : 0;
        bench.log("LOST: %s was over at %d (%s), its viewer %s", request.id, request.overAt, request.overWhy,
            request.releasedAt < 0 ? "was never told" : "was told at " + request.releasedAt);
      }
    }
    bench.say("%d requests, %d played, %d refused or failed", viewers[0].requests.size(), played, refused);
    bench.say("%d sessions were over for more than 8.05 s and not released, %d of them never; %d requests without one answer",
        late, standing, unanswered);
    bench.log("front's log:%n%s", bench.frontLog("n0", 0));
    if (!front.isAlive() || played < 20) {
      bench.say("the case could not run as meant");
      return 2;
    }
    return late > 0 || unanswered > 0 ? 1 : 0;
  }
}
