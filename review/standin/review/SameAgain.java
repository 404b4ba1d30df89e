package review;

import java.io.BufferedInputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Bad clients send hundreds of set-ups at once of a class that does not exist, and the same again as
 * soon as they are turned away; they read what is sent to them. When they have gone the front has to serve its usual viewers.
 */
final class SameAgain {
  private static final int SERVERS = 13;
  private static final int PLACES = 12;
  private static final int BAD_CLIENTS = 200;
  private static final int REQUESTS_AT_ONCE = 900;
  private static final long BAD_FROM_MS = 8_000;
  private static final long BAD_FOR_MS = 10_000;
  private static final long QUIET_MS = 10_000;

  private SameAgain() {}

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
    List<Server> servers = new ArrayList<>();
    for (int i = 0; i < SERVERS; i++) {
      servers.add(bench.part(new Server(bench, 0xc41f70 + i, i % PLACES, 15 + i % 7, 30_000, new Server.Observer() {})));
    }
    Journal journal = bench.part(new Journal(bench));
    int port = Bench.freePort();
    Process front = bench.startFront("n0", port, Bench.configuration(port, journal.port, 1024, 3, PLACES, servers));
    Viewers viewers = bench.part(new Viewers(bench, port, 6));

    long begin = bench.now();
    long badEnd = begin + BAD_FROM_MS + BAD_FOR_MS;
    AtomicLong sent = new AtomicLong();
    AtomicLong read = new AtomicLong();
    AtomicInteger closed = new AtomicInteger();
    CountDownLatch gone = new CountDownLatch(trouble ? BAD_CLIENTS : 0);
    for (int i = 0; trouble && i < BAD_CLIENTS; i++) {
      byte[] message = Viewers.message(1, String.format("%016x", random.nextLong()), 33, "x", 35, "3000", 41, "7",
          43, "home:3", 63, "d");
      bench.after(BAD_FROM_MS, () -> {
        Thread thread = new Thread(null, () -> {
          badClient(bench, port, message, badEnd, sent, read, closed);
          gone.countDown();
        }, "bad client", 256 * 1024);
        thread.setDaemon(true);
        thread.start();
      });
    }

    List<Viewers.Request> afterwards = new ArrayList<>();
    boolean allGone = !trouble;
    long judgeFrom = badEnd + QUIET_MS;
    while (bench.now() < judgeFrom + 15_000) {
      String id = String.format("%016x", random.nextLong() | 1L << 60);
      int home = random.nextInt(PLACES);
      try {
        Viewers.Request request = viewers.ask(id, "lesson", String.format("7f3a9c21e0b4%04x", home * 16 + random.nextInt(16)),
            3000, String.format("home:%d;copies:4;top:4;viewer:%016x", home, bench.now()));
        if (bench.now() > judgeFrom) {
          afterwards.add(request);
        }
      } catch (IOException e) {
        bench.log("viewers: cannot ask: %s", e);
      }
      Thread.sleep(400);
      if (!allGone && bench.now() > badEnd) {
        allGone = gone.await(5, TimeUnit.SECONDS);
        bench.say("bad clients: all gone %s, %d requests sent, %d turned away, %d connections closed", allGone, sent.get(),
            read.get(), closed.get());
        allGone = true;
      }
    }
    Thread.sleep(4_000);
    boolean passes = false;
    for (int i = 0; i < 5 && !passes; i++) {
      passes = Viewers.passesTest(port);
    }
    int unanswered = 0;
    for (Viewers.Request request : afterwards) {
      unanswered += request.answers == 0 ? 1 : 0;
      if (request.answers == 0) {
        bench.log("LOST: %s was asked at %d and never answered", request.id, request.sentAt);
      }
    }
    int unansweredInAll = (int) viewers.requests.values().stream().filter(request -> request.answers == 0).count();
    bench.say("process alive: %s; it passes a test %d s after the last bad client: %s", front.isAlive(),
        (bench.now() - badEnd) / 1000, passes);
    bench.say("%d requests of usual viewers in all, %d never answered; of the %d asked more than %d s after the bad clients, %d",
        viewers.requests.size(), unansweredInAll, afterwards.size(), QUIET_MS / 1000, unanswered);
    String log = bench.frontLog("n0", 0);
    bench.say("the front's log tells of a lack of memory: %s", log.contains("OutOfMemoryError"));
    bench.log("front's log:%n%s", log);
    return !front.isAlive() || !passes || unanswered > 0 ? 1 : 0;
  }

  /** Sends hundreds of requests at once, and for each one that is turned away the same again. */
  private static void badClient(Bench bench, int port, byte[] message, long end, AtomicLong sent, AtomicLong answered,
      AtomicInteger closed) {
    ByteBuffer many = ByteBuffer.allocate(REQUESTS_AT_ONCE * message.length);
    long id = ByteBuffer.wrap(message).getLong(3);
    while (bench.now() < end) {
      try (Socket socket = new Socket()) {
        socket.connect(new InetSocketAddress("127.0.0.1", port), 3000);
        socket.setSoTimeout(3000);
        DataInputStream in = new DataInputStream(new BufferedInputStream(socket.getInputStream(), 65536));
        int owed = REQUESTS_AT_ONCE;
        while (bench.now() < end) {
          many.clear();
          for (int i = 0; i < owed; i++) {
            many.put(message).putLong(many.position() - message.length + 3, ++id);
          }
          socket.getOutputStream().write(many.array(), 0, many.position());
          sent.addAndGet(owed);
          owed = 0;
          do {
            in.readFully(new byte[in.readUnsignedShort()]);
            owed++;
          } while (owed < REQUESTS_AT_ONCE && in.available() > 40);
          answered.addAndGet(owed);
        }
      } catch (IOException e) {
        closed.incrementAndGet();
        try {
          Thread.sleep(50);
        } catch (InterruptedException interrupted) {
          return;
        }
      }
    }
  }
}
