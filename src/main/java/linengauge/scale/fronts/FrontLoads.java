package linengauge.scale.fronts;

import java.io.EOFException;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import linengauge.standin.PlatformViewers;

/** The loads under which a front is measured; each on a front of its own. */
final class FrontLoads {
  /** What one run of a load gives, by quantity. */
  static final String MEMORY = "resident memory";

  static final String PROCESSOR = "processor time";
  static final String HELD = "connections held";
  static final String DESCRIPTORS = "descriptors";
  static final String ANSWERED = "answered";
  static final String TAKEN_OVER = "time until all are taken over";
  static final String TAKEN_OVER_PROCESSOR = "processor time until all are taken over";

  private static final int SETTLE_MS = 3000;
  private static final int LEFT_MS = 5000;
  private static final int LINES = 20;
  private static final int WARM_UP = 1000;
  private static final int FIRST_WARM_UP = 10_000_000;
  private static final int ENDED_BY_VIEWER = 31;
  private static final int ENDED_BY_BOX = 16;
  private static final double MEGABYTE = 1 << 20;
  private static final double NANOS = 1e9;

  private final FrontPlan plan;

  FrontLoads(FrontPlan plan) {
    this.plan = plan;
  }

  /** Connections that have shown themselves to be viewers' and then say nothing. */
  Map<String, Double> idle(int connections) throws IOException, InterruptedException {
    try (var stage = new FrontStage(plan)) {
      List<ClientSocket> clients = new ArrayList<>();
      try {
        for (int i = 0; i < connections; i++) {
          ClientSocket client = new ClientSocket(stage.port());
          clients.add(client);
          client.passesTest();
        }
        Map<String, Double> figures = rest(stage);
        figures.put(HELD, (double) clients.stream().filter(ClientSocket::passesTest).count());
        return figures;
      } finally {
        closeAll(clients);
      }
    }
  }

  /** Connections with a viewing each, which plays. */
  Map<String, Double> playing(int connections) throws IOException, InterruptedException {
    try (var stage = new FrontStage(plan)) {
      List<ClientSocket> clients = new ArrayList<>();
      try {
        int playing = play(stage, clients, connections);
        Map<String, Double> figures = rest(stage);
        figures.put(ANSWERED, (double) playing);
        figures.put(HELD, (double) clients.stream().filter(ClientSocket::passesTest).count());
        return figures;
      } finally {
        closeAll(clients);
      }
    }
  }

  /** A set-up on each of so many new connections, one after another; how many play. */
  private static int play(FrontStage stage, List<ClientSocket> clients, int connections)
      throws IOException {
    int playing = 0;
    for (int id = 1; id <= connections; id++) {
      ClientSocket client = new ClientSocket(stage.port());
      clients.add(client);
      client.send(PlatformViewers.setUp(id, "lesson", LEFT_MS, ""));
      playing += answer(client) == ClientSocket.PLAYS ? 1 : 0;
    }
    return playing;
  }

  private static int answer(ClientSocket client) throws IOException {
    try {
      return client.readType();
    } catch (EOFException | java.net.SocketException e) {
      return -1; // the front has closed it
    }
  }

  /** Memory and processor time while nothing is asked for. */
  private Map<String, Double> rest(FrontStage stage) throws IOException, InterruptedException {
    Thread.sleep(SETTLE_MS);
    ProcessUsage before = stage.front().usage();
    long began = System.nanoTime();
    Thread.sleep(plan.seconds() * 1000L);
    return used(stage, before, began);
  }

  private static Map<String, Double> used(FrontStage stage, ProcessUsage before, long began)
      throws IOException {
    ProcessUsage after = stage.front().usage();
    double seconds = (System.nanoTime() - began) / NANOS;
    double processor = after.processorSeconds() - before.processorSeconds();
    Map<String, Double> figures = new LinkedHashMap<>();
    figures.put(MEMORY, after.residentBytes() / MEGABYTE);
    figures.put(PROCESSOR, 100 * processor / seconds);
    figures.put(DESCRIPTORS, (double) after.descriptors());
    return figures;
  }

  /** Viewings set up at a rate, each ended by its viewer as soon as it plays. */
  Map<String, Double> setUps(int rate) throws IOException, InterruptedException {
    try (var stage = new FrontStage(plan)) {
      List<ClientSocket> clients = lines(stage);
      try {
        ProcessUsage before = stage.front().usage();
        long began = System.nanoTime();
        int answered = 0;
        for (int id = 1; id <= rate * plan.seconds(); id++) {
          awaitTurn(began, id, rate);
          ClientSocket client = clients.get(id % LINES);
          client.send(PlatformViewers.setUp(id, "lesson", LEFT_MS, ""));
          answered += answer(client) == ClientSocket.PLAYS ? 1 : 0;
          client.send(PlatformViewers.message(12, id, 61, new byte[] {(byte) ENDED_BY_VIEWER}));
        }
        Map<String, Double> figures = used(stage, before, began);
        figures.put(ANSWERED, (double) answered);
        return figures;
      } finally {
        closeAll(clients);
      }
    }
  }

  /** Ends of viewings that play, told by boxes at a rate: each is delivered to its viewer. */
  Map<String, Double> deliveries(int rate) throws IOException, InterruptedException {
    try (var stage = new FrontStage(plan)) {
      List<ClientSocket> clients = lines(stage);
      try {
        int viewings = rate * plan.seconds();
        for (int id = 1; id <= viewings; id++) {
          ClientSocket client = clients.get(id % LINES);
          client.send(PlatformViewers.setUp(id, "lesson", LEFT_MS, ""));
          answer(client);
        }
        Thread.sleep(SETTLE_MS);
        ProcessUsage before = stage.front().usage();
        long began = System.nanoTime();
        int delivered = 0;
        for (int id = 1; id <= viewings; id++) {
          awaitTurn(began, id, rate);
          delivered += endByBox(stage, id, clients.get(id % LINES)) ? 1 : 0;
        }
        Map<String, Double> figures = used(stage, before, began);
        figures.put(ANSWERED, (double) delivered);
        return figures;
      } finally {
        closeAll(clients);
      }
    }
  }

  /**
   * The front is killed with viewings that play, and each viewer connects again to hand it over.
   */
  Map<String, Double> reconnects(int connections) throws IOException, InterruptedException {
    try (var stage = new FrontStage(plan)) {
      List<ClientSocket> clients = new ArrayList<>();
      try {
        play(stage, clients, connections);
        stage.killAndStart();
        closeAll(clients);
        clients.clear();
        ProcessUsage before = stage.front().usage();
        long began = System.nanoTime();
        int taken = 0;
        for (int id = 1; id <= connections; id++) {
          ClientSocket client = new ClientSocket(stage.port());
          clients.add(client);
          String at = ";at:" + ServeConfiguration.boxName(Math.max(0, stage.boxOf(id)));
          client.send(PlatformViewers.setUp(id, "lesson", 0, at));
          taken += client.passesTest() ? 1 : 0;
        }
        double seconds = (System.nanoTime() - began) / NANOS;
        ProcessUsage after = stage.front().usage();
        Map<String, Double> figures = new LinkedHashMap<>();
        figures.put(MEMORY, after.residentBytes() / MEGABYTE);
        figures.put(TAKEN_OVER, seconds);
        figures.put(TAKEN_OVER_PROCESSOR, after.processorSeconds() - before.processorSeconds());
        figures.put(ANSWERED, (double) taken);
        return figures;
      } finally {
        closeAll(clients);
      }
    }
  }

  /** Connections for many viewings each, to a front that has played some: its code is compiled. */
  private static List<ClientSocket> lines(FrontStage stage) throws IOException {
    List<ClientSocket> clients = new ArrayList<>();
    for (int i = 0; i < LINES; i++) {
      clients.add(new ClientSocket(stage.port()));
    }
    for (int id = FIRST_WARM_UP; id < FIRST_WARM_UP + WARM_UP; id++) {
      ClientSocket client = clients.get(id % LINES);
      client.send(PlatformViewers.setUp(id, "lesson", LEFT_MS, ""));
      answer(client);
      endByBox(stage, id, client);
    }
    return clients;
  }

  /** A box ends a viewing; whether its viewer is told. */
  private static boolean endByBox(FrontStage stage, long id, ClientSocket client)
      throws IOException {
    int box = stage.boxOf(id);
    if (box < 0) {
      return false;
    }
    stage.boxes().get(box).end(FrontStage.tag(id), ENDED_BY_BOX);
    return answer(client) == ClientSocket.OVER;
  }

  private static void awaitTurn(long began, int turn, int rate) throws InterruptedException {
    long at = began + (long) (turn * NANOS / rate);
    long wait = at - System.nanoTime();
    if (wait > 0) {
      Thread.sleep(wait / 1_000_000, (int) (wait % 1_000_000));
    }
  }

  private static void closeAll(List<ClientSocket> clients) throws IOException {
    for (ClientSocket client : clients) {
      client.close();
    }
  }
}
