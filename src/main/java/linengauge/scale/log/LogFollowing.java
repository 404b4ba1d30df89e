package linengauge.scale.log;

import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.TreeMap;
import java.util.concurrent.TimeoutException;
import java.util.stream.Stream;
import linengauge.Span;
import linengauge.consensus.LogFollower;
import linengauge.consensus.PersistentState;
import linengauge.consensus.RaftSettings;
import linengauge.consensus.SaveFailedException;
import linengauge.consensus.StateMachine;
import linengauge.consensus.Voters;
import linengauge.consensus.tcp.ConsensusNode;
import linengauge.consensus.tcp.ConsensusStore;
import linengauge.scale.Measurement;
import linengauge.scale.Measurement.Statistic;

/**
 * Measures one voter and many followers of its log in this process, each on its own connection.
 * Followers poll at the default rate; changes are committed at a configured rate.
 */
public final class LogFollowing {
  private static final byte[] KEY =
      "a key for a measurement on loopback".getBytes(StandardCharsets.UTF_8);
  private static final int VOTER = 0;
  private static final long VOTER_STORE_ID = 7;
  private static final int PAYLOAD_BYTES = 200;
  private static final int APPLY_TIMEOUT_MS = 60_000;
  private static final int POLL_INTERVAL_MS = 20;
  private static final Span MAX_VIEW_AGE = Span.ofSeconds(2);

  /** The voter follows its own log, and both ends of that connection count. */
  private static final int VOTER_SELF_CONNECTIONS = 2;

  /** The parameters of one measurement. */
  public record Plan(int followers, int seconds, int changesPerMinute) {}

  /** A state machine that only counts the decisions applied to it. */
  private static final class DecisionCounter implements StateMachine {
    private volatile long applied;

    @Override
    public void apply(long index, long author, byte[] decision) {
      applied = applied + 1; // written by the node's thread only
    }

    @Override
    public byte[] whole() {
      return new byte[0];
    }

    @Override
    public void restore(byte[] whole) {
      // there is no state to restore
    }
  }

  private final Plan plan;
  private final List<ConsensusNode> nodes = new ArrayList<>();
  private final List<DecisionCounter> counters = new ArrayList<>();
  private final List<Double> propagationSeconds = new ArrayList<>();

  private LogFollowing(Plan plan) {
    this.plan = plan;
  }

  /** Runs the measurement, then closes all sockets and deletes all files. */
  public static List<Measurement> measure(Plan plan)
      throws IOException, InterruptedException, SaveFailedException, TimeoutException {
    Path folder = Files.createTempDirectory("log-following");
    LogFollowing run = new LogFollowing(plan);
    try {
      return run.run(folder);
    } finally {
      run.nodes.forEach(ConsensusNode::close);
      deleteRecursively(folder);
    }
  }

  private static void deleteRecursively(Path folder) throws IOException {
    try (Stream<Path> paths = Files.walk(folder)) {
      for (Path path : paths.sorted(Comparator.reverseOrder()).toList()) {
        Files.delete(path);
      }
    }
  }

  private List<Measurement> run(Path folder)
      throws IOException, InterruptedException, SaveFailedException, TimeoutException {
    String address = "127.0.0.1:" + freePort();
    startVoter(address, folder);
    for (int number = 1; number <= plan.followers(); number++) {
      start(settings(number, null, address), null);
    }
    awaitCondition(this::allFresh);
    long sentBefore = sentBytes();
    long receivedBefore = receivedBytes();
    long processorNanosBefore = processorNanos();
    long startNanos = System.nanoTime();
    runLoad(startNanos);
    double seconds = (System.nanoTime() - startNanos) / 1e9;
    double followerSeconds = seconds * plan.followers();
    List<Measurement> measurements = new ArrayList<>();
    measurements.add(
        measurement(
            "bytes sent", "B/s", Statistic.MEAN, (sentBytes() - sentBefore) / followerSeconds));
    measurements.add(
        measurement(
            "bytes received",
            "B/s",
            Statistic.MEAN,
            (receivedBytes() - receivedBefore) / followerSeconds));
    double percent = (processorNanos() - processorNanosBefore) / 1e9 / followerSeconds * 100;
    measurements.add(
        measurement(
            "processor time, the voter's part included", "% of a core", Statistic.MEAN, percent));
    if (!propagationSeconds.isEmpty()) {
      double mean =
          propagationSeconds.stream().mapToDouble(Double::doubleValue).average().orElseThrow();
      double maximum =
          propagationSeconds.stream().mapToDouble(Double::doubleValue).max().orElseThrow();
      measurements.add(measurement("change in force everywhere after", "s", Statistic.MEAN, mean));
      measurements.add(
          measurement("change in force everywhere after", "s", Statistic.MAXIMUM, maximum));
    }
    return measurements;
  }

  private Measurement measurement(String quantity, String unit, Statistic statistic, double value) {
    String event =
        plan.changesPerMinute() == 0 ? "quiet" : plan.changesPerMinute() + " changes a minute";
    return new Measurement(
        "log", "front", event, plan.followers(), quantity, unit, statistic, List.of(value));
  }

  private void startVoter(String address, Path folder) throws IOException, SaveFailedException {
    TreeMap<Integer, Voters.Chair> chairs = new TreeMap<>();
    chairs.put(VOTER, new Voters.Chair(VOTER_STORE_ID, address, true));
    try (ConsensusStore store = new ConsensusStore(folder)) {
      store.save(
          PersistentState.founding(VOTER_STORE_ID, new Voters(chairs), new DecisionCounter()));
    }
    start(settings(VOTER, address, address), new ConsensusStore(folder));
  }

  private ConsensusNode.Settings settings(int number, String listen, String voter) {
    TreeMap<Integer, String> voters = new TreeMap<>();
    voters.put(VOTER, voter);
    return new ConsensusNode.Settings(
        number,
        listen,
        voters,
        KEY,
        RaftSettings.USUAL,
        LogFollower.Terms.USUAL,
        plan.followers() + VOTER_SELF_CONNECTIONS);
  }

  private void start(ConsensusNode.Settings settings, ConsensusStore store) throws IOException {
    DecisionCounter counter = new DecisionCounter();
    ConsensusNode node =
        new ConsensusNode(settings, store, new DecisionCounter(), counter, (how, view) -> {});
    nodes.add(node);
    counters.add(counter);
    node.start();
  }

  private boolean allFresh() {
    return nodes.stream()
        .allMatch(node -> node.view() != null && node.view().age().isShorterThan(MAX_VIEW_AGE));
  }

  private void runLoad(long startNanos) throws InterruptedException, TimeoutException {
    long endNanos = startNanos + plan.seconds() * 1_000_000_000L;
    if (plan.changesPerMinute() == 0) {
      Thread.sleep(plan.seconds() * 1000L);
      return;
    }
    long pauseMs = 60_000L / plan.changesPerMinute();
    long expectedCount = counters.get(0).applied;
    while (System.nanoTime() < endNanos) {
      expectedCount++;
      long proposedNanos = System.nanoTime();
      nodes.get(VOTER).wants(new byte[PAYLOAD_BYTES], decided -> {});
      long target = expectedCount;
      awaitCondition(() -> counters.stream().allMatch(counter -> counter.applied >= target));
      propagationSeconds.add((System.nanoTime() - proposedNanos) / 1e9);
      Thread.sleep(pauseMs);
    }
  }

  private static void awaitCondition(java.util.function.BooleanSupplier condition)
      throws InterruptedException, TimeoutException {
    for (int waitedMs = 0; !condition.getAsBoolean(); waitedMs += POLL_INTERVAL_MS) {
      if (waitedMs > APPLY_TIMEOUT_MS) {
        throw new TimeoutException("condition not met by all followers within a minute");
      }
      Thread.sleep(POLL_INTERVAL_MS);
    }
  }

  /** Bytes sent by all followers, excluding the voter. */
  private long sentBytes() {
    return nodes.stream().skip(1).mapToLong(node -> node.traffic().sentBytes()).sum();
  }

  private long receivedBytes() {
    return nodes.stream().skip(1).mapToLong(node -> node.traffic().receivedBytes()).sum();
  }

  private static long processorNanos() {
    return ((com.sun.management.OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean())
        .getProcessCpuTime();
  }

  private static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
      return socket.getLocalPort();
    }
  }
}
