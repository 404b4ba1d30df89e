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
import linengauge.drill.VoterStores;
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

/** Runs a control machine of lease-based membership until SIGTERM or SIGINT. */
@Command(
    name = "control",
    mixinStandardHelpOptions = true,
    description =
        "Run a control machine, which manages the fronts' leases and takes part in the log.")
final class ControlCommand implements Callable<Integer> {
  private static final int MIN_KEY_BYTES = 16;

  @Option(
      names = "--number",
      required = true,
      description = "Number of this machine, above those of all fronts.")
  private int number;

  @Option(names = "--listen", required = true, description = "UDP address as numeric host:port.")
  private String listen;

  @Option(
      names = "--machine",
      required = true,
      description = "Each control machine, including this one: NUMBER=REGION@HOST:PORT (UDP).")
  private Map<Integer, String> machines;

  @Option(
      names = "--log-listen",
      required = true,
      description = "TCP address of the log as numeric host:port.")
  private String logListen;

  @Option(
      names = "--voter",
      required = true,
      description = "Each founding voter of the log: NUMBER=HOST:PORT (TCP).")
  private Map<Integer, String> voters;

  @Option(
      names = "--store",
      description = "Folder of a voter's store; without it the log is only followed.")
  private Path store;

  @Option(names = "--found", description = "Create the store as that of a founding voter.")
  private boolean founding;

  @Option(names = "--key-file", required = true, description = "The fleet's key, 16 bytes or more.")
  private Path keyFile;

  @Option(
      names = "--heartbeat-ms",
      defaultValue = "1000",
      description = "Heartbeat interval, the same as the fronts'.")
  private long heartbeatMs;

  @CommandLine.Mixin private Commands.LogOptions log;

  @Override
  public Integer call() throws Exception {
    log.apply();
    byte[] key =
        Files.readString(keyFile).strip().getBytes(java.nio.charset.StandardCharsets.UTF_8);
    if (key.length < MIN_KEY_BYTES) {
      throw new IllegalArgumentException(keyFile + " holds a key of fewer than 16 bytes");
    }
    LeaseSettings lease = LeaseSettings.USUAL.withHeartbeat(Span.ofMillis(heartbeatMs));
    ConsensusStore consensusStore =
        store == null
            ? null
            : VoterStores.open(store, key, number, voters, founding, new MemberDirectory(lease));
    CountDownLatch shutdownRequested = new CountDownLatch(1);
    CountDownLatch finished = new CountDownLatch(1);
    Runtime.getRuntime()
        .addShutdownHook(new Thread(() -> shutDown(shutdownRequested, finished), "end"));
    try (ControlNode node = new ControlNode(settings(lease, key), consensusStore, listener())) {
      node.start();
      shutdownRequested.await();
    } finally {
      finished.countDown();
    }
    return 0;
  }

  private static void shutDown(CountDownLatch shutdownRequested, CountDownLatch finished) {
    shutdownRequested.countDown();
    try {
      finished.await(2, java.util.concurrent.TimeUnit.SECONDS);
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
    return new ControlNode.Settings(lease, number, listen, controlMachines(), logSettings);
  }

  private List<ControlMachine> controlMachines() {
    return machines.entrySet().stream()
        .map(entry -> machine(entry.getKey(), entry.getValue()))
        .sorted(Comparator.comparingInt(ControlMachine::number))
        .toList();
  }

  private static ControlMachine machine(int number, String value) {
    String[] parts = value.split("@", 2);
    if (parts.length != 2 || !parts[0].matches("[0-9]{1,2}")) {
      throw new IllegalArgumentException(
          "--machine " + number + "=" + value + ": expected REGION@HOST:PORT");
    }
    return new ControlMachine(number, Integer.parseInt(parts[0]), parts[1]);
  }

  private static ControlNode.Listener listener() {
    Logger logger = LoggerFactory.getLogger(ControlCommand.class);
    return new ControlNode.Listener() {
      @Override
      public void changed(DirectoryEntry entry) {
        logger.info(
            "front {} is {}, incarnation {}",
            entry.member().number(),
            entry.state(),
            entry.incarnation());
      }

      @Override
      public void logViewChanged(ConsensusNode.View view) {
        logger.info("log role {} in term {}, leader {}", view.role(), view.term(), view.leader());
      }
    };
  }
}
