package linengauge.cli;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import linengauge.Span;
import linengauge.consensus.LogFollower;
import linengauge.consensus.RaftSettings;
import linengauge.consensus.tcp.ConsensusNode;
import linengauge.consensus.tcp.ConsensusStore;
import linengauge.drill.FoundingStore;
import linengauge.lease.ControlMachine;
import linengauge.lease.DirectoryEntry;
import linengauge.lease.LeaseSettings;
import linengauge.lease.MemberDirectory;
import linengauge.lease.udp.ControlNode;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs a control machine of membership by lease until SIGTERM or SIGINT. */
@Command(
    name = "control",
    mixinStandardHelpOptions = true,
    description = "Run a control machine: it keeps the fronts' leases beside its part in the log.")
final class ControlCommand implements Callable<Integer> {
  private static final int SHORTEST_KEY = 16;

  @Option(names = "--number", required = true, description = "Its number: above all fronts'.")
  private int number;

  @Option(names = "--listen", required = true, description = "UDP, host:port in numbers.")
  private String listen;

  @Option(
      names = "--machine",
      required = true,
      description = "Each control machine, this one too: NUMBER=REGION@HOST:PORT (UDP).")
  private Map<Integer, String> machines;

  @Option(names = "--log-listen", required = true, description = "TCP, host:port in numbers.")
  private String logListen;

  @Option(
      names = "--voter",
      required = true,
      description = "Each founding voter of the log: NUMBER=HOST:PORT (TCP).")
  private Map<Integer, String> voters;

  @Option(names = "--store", description = "A voter's folder; without it the log is followed only.")
  private Path store;

  @Option(names = "--found", description = "Make the folder that of a founding voter.")
  private boolean founds;

  @Option(names = "--key-file", required = true, description = "The fleet's, of 16 bytes or more.")
  private Path keyFile;

  @Option(names = "--heartbeat-ms", defaultValue = "1000", description = "As the fronts have it.")
  private long heartbeatMs;

  @CommandLine.Mixin private Commands.LogForm log;

  @Override
  public Integer call() throws Exception {
    log.apply();
    byte[] key =
        Files.readString(keyFile).strip().getBytes(java.nio.charset.StandardCharsets.UTF_8);
    if (key.length < SHORTEST_KEY) {
      throw new IllegalArgumentException(keyFile + " holds a key of fewer than 16 bytes");
    }
    LeaseSettings lease = LeaseSettings.USUAL.withHeartbeat(Span.ofMillis(heartbeatMs));
    ConsensusStore opened =
        store == null
            ? null
            : FoundingStore.open(store, key, number, voters, founds, new MemberDirectory(lease));
    CountDownLatch ends = new CountDownLatch(1);
    CountDownLatch ended = new CountDownLatch(1);
    Runtime.getRuntime().addShutdownHook(new Thread(() -> endInOrder(ends, ended), "end"));
    try (ControlNode node = new ControlNode(settings(lease, key), opened, listener())) {
      node.start();
      ends.await();
    } finally {
      ended.countDown();
    }
    return 0;
  }

  private static void endInOrder(CountDownLatch ends, CountDownLatch ended) {
    ends.countDown();
    try {
      ended.await(2, java.util.concurrent.TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private ControlNode.Settings settings(LeaseSettings lease, byte[] key) {
    ConsensusNode.Settings logSettings =
        new ConsensusNode.Settings(
            number,
            logListen,
            new TreeMap<>(voters),
            key,
            RaftSettings.USUAL,
            LogFollower.Terms.USUAL);
    return new ControlNode.Settings(lease, number, listen, all(), logSettings);
  }

  private List<ControlMachine> all() {
    return machines.entrySet().stream()
        .map(told -> machine(told.getKey(), told.getValue()))
        .sorted(Comparator.comparingInt(ControlMachine::number))
        .toList();
  }

  private static ControlMachine machine(int number, String told) {
    String[] parts = told.split("@", 2);
    if (parts.length != 2 || !parts[0].matches("[0-9]{1,2}")) {
      throw new IllegalArgumentException(
          "--machine " + number + "=" + told + ": no REGION@HOST:PORT");
    }
    return new ControlMachine(number, Integer.parseInt(parts[0]), parts[1]);
  }

  private static ControlNode.Listener listener() {
    Logger logger = LoggerFactory.getLogger(ControlCommand.class);
    return new ControlNode.Listener() {
      @Override
      public void changed(DirectoryEntry entry) {
        logger.info(
            "front {} is {} in life {}",
            entry.member().number(),
            entry.state(),
            entry.incarnation());
      }

      @Override
      public void logViewChanged(ConsensusNode.View view) {
        logger.info("{} in term {}, leader {}", view.role(), view.term(), view.leader());
      }
    };
  }
}
