package linengauge.scale.fronts;

import java.io.EOFException;
import java.io.IOException;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import linengauge.standin.PlatformViewers;

/** The loads under which a front is measured. Each run starts a front of its own. */
final class FrontLoads {
  /** The quantities that one run of a load yields, beginning with memory. */
  static final String MEMORY = "resident memory";

  static final String PROCESSOR = "processor time";
  static final String HELD = "connections held";
  static final String DESCRIPTORS = "descriptors";
  static final String ANSWERED = "answered";
  static final String TAKEN_OVER = "time until all are taken over";
  static final String TAKEN_OVER_PROCESSOR = "processor time until all are taken over";

  private static final int SETTLE_MS = 3000;
  private static final int TUNE_IN_TIME_LIMIT_MS = 5000;
  private static final int SHARED_CONNECTIONS = 20;
  private static final int MAX_UNANSWERED = 5;
  private static final int WARM_UP_VIEWINGS = 1000;
  private static final int FIRST_WARM_UP_ID = 10_000_000;
  // Causes of an end (parameter 61): 31 if the viewer ends the viewing, 16 if the viewing is over.
  private static final int VIEWER_END_CODE = 31;
  private static final int BOX_END_CODE = 16;
  private static final double BYTES_PER_MEGABYTE = 1 << 20;
  private static final double NANOS_PER_SECOND = 1e9;

  private final FrontPlan plan;

  FrontLoads(FrontPlan plan) {
    this.plan = plan;
  }

  /**
   * Opens connections that each pass one test, which identifies them as viewers, and then stay
   * idle.
   */
  Map<String, Double> idle(int connections) throws IOException, InterruptedException {
    try (var testbed = new FrontTestbed(plan)) {
      List<ClientSocket> clients = new ArrayList<>();
      try {
        boolean answers = true;
        for (int i = 0; i < connections && answers; i++) {
          ClientSocket client = new ClientSocket(testbed.port());
          clients.add(client);
          answers = client.passesTest();
        }
        Map<String, Double> figures = measureWhileQuiet(testbed);
        figures.put(HELD, (double) countAnswering(clients));
        return figures;
      } finally {
        closeAll(clients);
      }
    }
  }

  /**
   * Counts the connections that still answer. Stops after a few that do not, because each of them
   * costs a full timeout and a front at its limit may answer none of thousands.
   */
  private static int countAnswering(List<ClientSocket> clients) {
    int held = 0;
    int unanswered = 0;
    for (ClientSocket client : clients) {
      if (client.passesTest()) {
        held++;
      } else if (++unanswered == MAX_UNANSWERED) {
        break;
      }
    }
    return held;
  }

  /** Opens connections with one playing viewing each. */
  Map<String, Double> playing(int connections) throws IOException, InterruptedException {
    try (var testbed = new FrontTestbed(plan)) {
      List<ClientSocket> clients = new ArrayList<>();
      try {
        int playing = setUpViewings(testbed, clients, connections);
        Map<String, Double> figures = measureWhileQuiet(testbed);
        figures.put(ANSWERED, (double) playing);
        figures.put(HELD, (double) countAnswering(clients));
        return figures;
      } finally {
        closeAll(clients);
      }
    }
  }

  /** Sets up one viewing on each new connection in turn and returns how many play. */
  private static int setUpViewings(
      FrontTestbed testbed, List<ClientSocket> clients, int connections) throws IOException {
    int playing = 0;
    for (int id = 1; id <= connections && id - playing <= MAX_UNANSWERED; id++) {
      ClientSocket client = new ClientSocket(testbed.port());
      clients.add(client);
      client.send(PlatformViewers.setUp(id, "lesson", TUNE_IN_TIME_LIMIT_MS, ""));
      playing += readAnswer(client) == ClientSocket.PLAYING_TYPE ? 1 : 0;
    }
    return playing;
  }

  private static int readAnswer(ClientSocket client) throws IOException {
    try {
      return client.readType();
    } catch (EOFException | SocketException | SocketTimeoutException e) {
      return -1; // the front closed the connection or does not answer
    }
  }

  /** Measures memory and processor time while no requests are sent. */
  private Map<String, Double> measureWhileQuiet(FrontTestbed testbed)
      throws IOException, InterruptedException {
    Thread.sleep(SETTLE_MS);
    ProcessUsage before = testbed.front().usage();
    long startNanos = System.nanoTime();
    Thread.sleep(plan.seconds() * 1000L);
    return usageSince(testbed, before, startNanos);
  }

  private static Map<String, Double> usageSince(
      FrontTestbed testbed, ProcessUsage before, long startNanos) throws IOException {
    ProcessUsage after = testbed.front().usage();
    double seconds = (System.nanoTime() - startNanos) / NANOS_PER_SECOND;
    double processor = after.processorSeconds() - before.processorSeconds();
    Map<String, Double> figures = new LinkedHashMap<>();
    figures.put(MEMORY, after.residentBytes() / BYTES_PER_MEGABYTE);
    figures.put(PROCESSOR, 100 * processor / seconds);
    figures.put(DESCRIPTORS, (double) after.descriptors());
    return figures;
  }

  /** Sets up viewings at a fixed rate; each viewer ends its viewing as soon as it plays. */
  Map<String, Double> setUps(int rate) throws IOException, InterruptedException {
    try (var testbed = new FrontTestbed(plan)) {
      List<ClientSocket> clients = openWarmedConnections(testbed);
      try {
        ProcessUsage before = testbed.front().usage();
        long startNanos = System.nanoTime();
        int answered = 0;
        int setUps = rate * plan.seconds();
        for (int id = 1; id <= setUps && id - answered <= MAX_UNANSWERED; id++) {
          awaitTurn(startNanos, id, rate);
          ClientSocket client = clients.get(id % SHARED_CONNECTIONS);
          client.send(PlatformViewers.setUp(id, "lesson", TUNE_IN_TIME_LIMIT_MS, ""));
          answered += readAnswer(client) == ClientSocket.PLAYING_TYPE ? 1 : 0;
          client.send(PlatformViewers.message(12, id, 61, new byte[] {(byte) VIEWER_END_CODE}));
        }
        Map<String, Double> figures = usageSince(testbed, before, startNanos);
        figures.put(ANSWERED, (double) answered);
        return figures;
      } finally {
        closeAll(clients);
      }
    }
  }

  /** Boxes end playing viewings at a fixed rate; each end is delivered to the viewer. */
  Map<String, Double> deliveries(int rate) throws IOException, InterruptedException {
    try (var testbed = new FrontTestbed(plan)) {
      List<ClientSocket> clients = openWarmedConnections(testbed);
      try {
        int viewings = rate * plan.seconds();
        for (int id = 1; id <= viewings; id++) {
          ClientSocket client = clients.get(id % SHARED_CONNECTIONS);
          client.send(PlatformViewers.setUp(id, "lesson", TUNE_IN_TIME_LIMIT_MS, ""));
          readAnswer(client);
        }
        Thread.sleep(SETTLE_MS);
        ProcessUsage before = testbed.front().usage();
        long startNanos = System.nanoTime();
        int delivered = 0;
        for (int id = 1; id <= viewings && id - delivered <= MAX_UNANSWERED; id++) {
          awaitTurn(startNanos, id, rate);
          delivered += endByBox(testbed, id, clients.get(id % SHARED_CONNECTIONS)) ? 1 : 0;
        }
        Map<String, Double> figures = usageSince(testbed, before, startNanos);
        figures.put(ANSWERED, (double) delivered);
        return figures;
      } finally {
        closeAll(clients);
      }
    }
  }

  /**
   * Kills the front while viewings play; each viewer then reconnects so that the restarted front
   * takes its viewing over.
   */
  Map<String, Double> reconnects(int connections) throws IOException, InterruptedException {
    try (var testbed = new FrontTestbed(plan)) {
      List<ClientSocket> clients = new ArrayList<>();
      try {
        setUpViewings(testbed, clients, connections);
        testbed.restartAfterKill();
        closeAll(clients);
        clients.clear();
        ProcessUsage before = testbed.front().usage();
        long startNanos = System.nanoTime();
        int takenOver = 0;
        for (int id = 1; id <= connections && id - takenOver <= MAX_UNANSWERED; id++) {
          ClientSocket client = new ClientSocket(testbed.port());
          clients.add(client);
          String at = ";at:" + ServeConfiguration.boxName(Math.max(0, testbed.boxOf(id)));
          client.send(PlatformViewers.setUp(id, "lesson", 0, at));
          takenOver += client.passesTest() ? 1 : 0;
        }
        double seconds = (System.nanoTime() - startNanos) / NANOS_PER_SECOND;
        ProcessUsage after = testbed.front().usage();
        Map<String, Double> figures = new LinkedHashMap<>();
        figures.put(MEMORY, after.residentBytes() / BYTES_PER_MEGABYTE);
        figures.put(TAKEN_OVER, seconds);
        figures.put(TAKEN_OVER_PROCESSOR, after.processorSeconds() - before.processorSeconds());
        figures.put(ANSWERED, (double) takenOver);
        return figures;
      } finally {
        closeAll(clients);
      }
    }
  }

  /**
   * Opens connections that are shared by many viewings, and plays enough viewings for the front's
   * code to be compiled.
   */
  private static List<ClientSocket> openWarmedConnections(FrontTestbed testbed) throws IOException {
    List<ClientSocket> clients = new ArrayList<>();
    for (int i = 0; i < SHARED_CONNECTIONS; i++) {
      clients.add(new ClientSocket(testbed.port()));
    }
    for (int id = FIRST_WARM_UP_ID; id < FIRST_WARM_UP_ID + WARM_UP_VIEWINGS; id++) {
      ClientSocket client = clients.get(id % SHARED_CONNECTIONS);
      client.send(PlatformViewers.setUp(id, "lesson", TUNE_IN_TIME_LIMIT_MS, ""));
      readAnswer(client);
      endByBox(testbed, id, client);
    }
    return clients;
  }

  /** Ends a viewing at its box and returns whether the viewer is notified. */
  private static boolean endByBox(FrontTestbed testbed, long id, ClientSocket client)
      throws IOException {
    int box = testbed.boxOf(id);
    if (box < 0) {
      return false;
    }
    testbed.boxes().get(box).end(FrontTestbed.tag(id), BOX_END_CODE);
    return readAnswer(client) == ClientSocket.ENDED_TYPE;
  }

  private static void awaitTurn(long startNanos, int turn, int rate) throws InterruptedException {
    long at = startNanos + (long) (turn * NANOS_PER_SECOND / rate);
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
