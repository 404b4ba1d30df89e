package linengauge.drill;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import linengauge.Span;
import linengauge.consensus.LogFollower;
import linengauge.consensus.RaftSettings;
import linengauge.consensus.SaveFailedException;
import linengauge.consensus.tcp.ConsensusNode;
import linengauge.consensus.tcp.ConsensusStore;
import linengauge.lease.ControlMachine;
import linengauge.lease.DirectoryEntry;
import linengauge.lease.LeaseSettings;
import linengauge.lease.MemberDirectory;
import linengauge.lease.Registrar;
import linengauge.lease.udp.ControlNode;
import linengauge.udp.SealedChannel;

/**
 * Runs a single control machine as a process. Its record has a line for each change of the
 * directory, one for each change of the log's role or term, and ten lines a second for the current
 * directory. It ends when input arrives or ends.
 */
public final class ControlProcess {
  private static final long SAMPLE_INTERVAL_MS = 100;

  /**
   * Start options.
   *
   * @param listen address for lease datagrams
   * @param machines addresses of all control machines as seen from this process
   * @param logListen address for connections of the log
   * @param voters addresses of the log's voters, by number
   * @param routes addresses at which this process reaches voters, where these differ from the
   *     voters' own
   * @param store folder of the voter's store; null if this machine follows the log without a vote
   */
  public record Options(
      int number,
      String listen,
      List<ControlMachine> machines,
      String logListen,
      Map<Integer, String> voters,
      Map<Integer, String> routes,
      Path store,
      Path keyFile,
      Path record) {}

  private final ProcessRecord record;

  private ControlProcess(ProcessRecord record) {
    this.record = record;
  }

  /** Runs until input arrives or ends; returns 1 if the store cannot be used. */
  public static int run(Options options, Span heartbeat, Span tick) throws IOException {
    LeaseSettings lease = LeaseProcess.settings(heartbeat);
    try (ProcessRecord record = new ProcessRecord(options.record())) {
      return new ControlProcess(record).run(options, lease, tick);
    } catch (SaveFailedException e) {
      System.err.println("control: " + e.getMessage());
      return 1;
    }
  }

  private int run(Options options, LeaseSettings lease, Span tick)
      throws IOException, SaveFailedException {
    byte[] key = Files.readAllBytes(options.keyFile());
    ConsensusStore store =
        options.store() == null
            ? null
            : VoterStores.open(
                options.store(),
                key,
                options.number(),
                options.voters(),
                true,
                new MemberDirectory(lease));
    TreeMap<Integer, String> routes = new TreeMap<>(options.voters());
    routes.putAll(options.routes());
    ConsensusNode.Settings log =
        new ConsensusNode.Settings(
            options.number(),
            options.logListen(),
            routes,
            key,
            RaftSettings.USUAL.inBeats(tick),
            followerSettings(tick));
    ControlNode.Settings settings =
        new ControlNode.Settings(
            lease, options.number(), options.listen(), options.machines(), log);
    try (ControlNode node = new ControlNode(settings, store, listener())) {
      node.start();
      Thread sampler = new Thread(() -> sampleUntilInterrupted(node), "looks");
      sampler.setDaemon(true);
      sampler.start();
      System.in.read(); // blocks until input arrives or ends
    }
    return 0;
  }

  /** Returns the default settings of a log follower with all durations scaled to the given tick. */
  private static LogFollower.Terms followerSettings(Span tick) {
    double scale = tick.seconds() / RaftSettings.USUAL.beat().seconds();
    LogFollower.Terms defaults = LogFollower.Terms.USUAL;
    return new LogFollower.Terms(
        defaults.ask().times(scale), defaults.silent().times(scale), defaults.wishes());
  }

  private ControlNode.Listener listener() {
    return new ControlNode.Listener() {
      @Override
      public void changed(DirectoryEntry entry) {
        record.write("changed", fields(entry));
      }

      @Override
      public void logViewChanged(ConsensusNode.View view) {
        record.write(
            "stands",
            "\"role\":\""
                + view.role()
                + "\",\"term\":"
                + view.term()
                + ",\"leader\":"
                + view.leader());
      }
    };
  }

  private void sampleUntilInterrupted(ControlNode node) {
    try {
      while (true) {
        Thread.sleep(SAMPLE_INTERVAL_MS);
        node.query((directory, registrar) -> recordSample(node, directory, registrar));
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void recordSample(ControlNode node, MemberDirectory directory, Registrar registrar) {
    String present =
        directory.entries().stream()
            .filter(entry -> entry.state() == DirectoryEntry.State.PRESENT)
            .map(entry -> "" + entry.member().number())
            .collect(Collectors.joining(","));
    record.write(
        "holds",
        "\"version\":"
            + directory.version()
            + ",\"leader\":"
            + directory.leader()
            + ",\"present\":["
            + present
            + "],\"heartbeats\":"
            + registrar.figures().heartbeats()
            + ","
            + fields(node.channel().drops()));
  }

  static String fields(DirectoryEntry entry) {
    return "\"number\":"
        + entry.member().number()
        + ",\"state\":\""
        + entry.state()
        + "\",\"incarnation\":"
        + entry.incarnation()
        + ",\"version\":"
        + entry.version();
  }

  static String fields(SealedChannel.Drops drops) {
    return "\"strangers\":"
        + drops.strangers()
        + ",\"replayed\":"
        + drops.replayed()
        + ",\"unreadable\":"
        + drops.unreadable()
        + ",\"otherVersions\":"
        + drops.otherVersions();
  }
}
