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
 * One control machine alone, as a process. Its record has one line for each change of the
 * directory, one for each change of how the log stands, and ten a second for what it holds. It ends
 * as its input does.
 */
public final class ControlProcess {
  private static final long EACH_MS = 100;

  /**
   * What it is started with.
   *
   * @param listen where it takes lease datagrams
   * @param machines all control machines, as this process reaches them
   * @param logListen where it takes the log's connections
   * @param voters of the log, by number
   * @param ways where this process reaches voters, in place of their addresses
   * @param store null: it follows the log without a vote
   */
  public record Start(
      int number,
      String listen,
      List<ControlMachine> machines,
      String logListen,
      Map<Integer, String> voters,
      Map<Integer, String> ways,
      Path store,
      Path keyFile,
      Path record) {}

  private final ProcessRecord record;

  private ControlProcess(ProcessRecord record) {
    this.record = record;
  }

  /** Runs until the input ends or says something; 1 where the store is not to be used. */
  public static int run(Start start, Span heartbeat, Span beat) throws IOException {
    LeaseSettings lease = LeaseProcess.settings(heartbeat);
    try (ProcessRecord record = new ProcessRecord(start.record())) {
      return new ControlProcess(record).run(start, lease, beat);
    } catch (SaveFailedException e) {
      System.err.println("control: " + e.getMessage());
      return 1;
    }
  }

  private int run(Start start, LeaseSettings lease, Span beat)
      throws IOException, SaveFailedException {
    byte[] key = Files.readAllBytes(start.keyFile());
    ConsensusStore store =
        start.store() == null
            ? null
            : FoundingStore.open(
                start.store(),
                key,
                start.number(),
                start.voters(),
                true,
                new MemberDirectory(lease));
    TreeMap<Integer, String> ways = new TreeMap<>(start.voters());
    ways.putAll(start.ways());
    ConsensusNode.Settings log =
        new ConsensusNode.Settings(
            start.number(),
            start.logListen(),
            ways,
            key,
            RaftSettings.USUAL.inBeats(beat),
            following(beat));
    ControlNode.Settings settings =
        new ControlNode.Settings(lease, start.number(), start.listen(), start.machines(), log);
    try (ControlNode node = new ControlNode(settings, store, listener())) {
      node.start();
      Thread looks = new Thread(() -> looks(node), "looks");
      looks.setDaemon(true);
      looks.start();
      System.in.read(); // until it says something, or ends
    }
    return 0;
  }

  private static LogFollower.Terms following(Span beat) {
    double by = beat.seconds() / RaftSettings.USUAL.beat().seconds();
    LogFollower.Terms usual = LogFollower.Terms.USUAL;
    return new LogFollower.Terms(usual.ask().times(by), usual.silent().times(by), usual.wishes());
  }

  private ControlNode.Listener listener() {
    return new ControlNode.Listener() {
      @Override
      public void changed(DirectoryEntry entry) {
        record.line("changed", fields(entry));
      }

      @Override
      public void logViewChanged(ConsensusNode.View view) {
        record.line(
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

  private void looks(ControlNode node) {
    try {
      while (true) {
        Thread.sleep(EACH_MS);
        node.query((directory, registrar) -> look(node, directory, registrar));
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void look(ControlNode node, MemberDirectory directory, Registrar registrar) {
    String present =
        directory.entries().stream()
            .filter(entry -> entry.state() == DirectoryEntry.State.PRESENT)
            .map(entry -> "" + entry.member().number())
            .collect(Collectors.joining(","));
    record.line(
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
