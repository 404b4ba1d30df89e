package review;

import java.io.DataInputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A bad client asks for a title with a figure that is out of range: it names no cell that holds the
 * title. Usual viewers ask for the same title with the right figures.
 */
final class FiguresOutOfRange {
  private static final int SERVERS = 13;
  private static final int PLACES = 12;
  private static final int COPIES = 4;

  private FiguresOutOfRange() {}

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

  /** The first cell of a title is the last four digits of its name, by 16. */
  private static boolean holds(int cell, String title) {
    int home = Integer.parseInt(title.substring(12), 16) / 16;
    return Math.floorMod(cell - home, PLACES) < COPIES;
  }

  private static int play(Bench bench, boolean trouble) throws Exception {
    long seed = Long.getLong("seed", System.nanoTime());
    bench.say("seed %d, %s", seed, trouble ? "with the disruption" : "without the disruption");
    SplittableRandom random = new SplittableRandom(seed);
    Viewers[] viewers = new Viewers[1];
    AtomicInteger wrong = new AtomicInteger();
    Server.Observer observer = new Server.Observer() {
      @Override
      public void attempt(Server server, String id, String title) {
        if (viewers[0].requests.containsKey(id) && !holds(server.cell, title)) {
          wrong.incrementAndGet();
          bench.log("WRONG: %s of a usual viewer is set up at %s, which does not hold title %s", id, server.name, title);
        }
      }
    };
    List<Server> servers = new ArrayList<>();
    for (int i = 0; i < SERVERS; i++) {
      Server server = bench.part(new Server(bench, 0xc41f70 + i, i % PLACES, 15 + i % 7, 30_000, observer));
      server.holds = title -> holds(server.cell, title);
      servers.add(server);
    }
    Journal journal = bench.part(new Journal(bench));
    int port = Bench.freePort();
    Process front = bench.startFront("n0", port, Bench.configuration(port, journal.port, 1024, 3, PLACES, servers));
    viewers[0] = bench.part(new Viewers(bench, port, 6));

    // Three viewers a second, each for one of eight titles. A title is asked for by a bad client first.
    int answeredServed = 0;
    String[] titles = new String[8];
    for (int i = 0; i < titles.length; i++) {
      titles[i] = String.format("7f3a9c21e0b4%04x", i * 16 + random.nextInt(16));
    }
    List<Socket> badClients = new ArrayList<>();
    for (int i = 0; i < 60; i++) {
      if (trouble && i < 8) {
        String id = String.format("%016x", random.nextLong() | 1L << 60);
        Socket bad = new Socket();
        bad.connect(new InetSocketAddress("127.0.0.1", port), 2000);
        bad.setSoTimeout(3000);
        badClients.add(bad);
        String figures = String.format("home:%d;copies:0;top:4;viewer:%016x", i, 9000 + i);
        bench.log("bad client: ask %s title %s %s", id, titles[i], figures);
        bad.getOutputStream().write(Viewers.setUp(id, "lesson", titles[i], 3000, figures));
        DataInputStream in = new DataInputStream(bad.getInputStream());
        try {
          in.readUnsignedShort();
          int type = in.readUnsignedByte();
          bench.log("bad client: told %d of %s", type, id);
          answeredServed += type == 9 ? 1 : 0;
        } catch (java.io.IOException e) {
          bench.log("bad client: %s", e);
        }
      }
      String id = String.format("%016x", random.nextLong() | 1L << 60);
      int place = i < 8 ? i : random.nextInt(titles.length);
      viewers[0].ask(id, random.nextInt(100) < 35 ? "season-review" : "lesson", titles[place], 3000,
          String.format("home:%d;copies:%d;top:4;viewer:%016x", place, COPIES, i + 1));
      Thread.sleep(330);
    }
    Thread.sleep(3500);

    int played = 0;
    int unanswered = 0;
    for (Viewers.Request request : viewers[0].requests.values()) {
      played += request.answer == 9 ? 1 : 0;
      unanswered += request.answers != 1 ? 1 : 0;
    }
    bench.say("%d requests of usual viewers, %d played, %d without one answer", viewers[0].requests.size(), played, unanswered);
    bench.say("%d set-ups of usual viewers went to a server that does not hold the title; %d bad clients were answered 'served'",
        wrong.get(), answeredServed);
    bench.log("front's log:%n%s", bench.frontLog("n0", 0));
    for (Socket bad : badClients) {
      bad.close();
    }
    if (!front.isAlive() || !trouble && played < 20) {
      return 2;
    }
    return wrong.get() > 0 || answeredServed > 0 || unanswered > 0 ? 1 : 0;
  }
}
