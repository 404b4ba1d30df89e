package linengauge.drill;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Collectors;
import linengauge.Moment;
import linengauge.Span;
import linengauge.lease.CombinedView;
import linengauge.lease.ControlMachine;
import linengauge.lease.DirectoryEntry;
import linengauge.lease.LeaseAgent;
import linengauge.lease.LeaseSettings;
import linengauge.lease.udp.LeaseNode;
import linengauge.membership.Member;
import linengauge.membership.MemberUpdate;
import linengauge.membership.MembershipSettings;
import linengauge.membership.udp.MembershipNode;
import linengauge.udp.DatagramLoop;
import linengauge.udp.SealedChannel;

/**
 * Runs a single front's membership as a process: by lease, by gossip, or both. Its record has a
 * line for each change, and ten lines a second for the current view. It ends when input arrives or
 * ends, and then announces that it leaves.
 */
public final class LeaseProcess {
  private static final long SAMPLE_INTERVAL_MS = 100;

  /**
   * Start options.
   *
   * @param leaseAddress address for lease datagrams; null for a front without a lease
   * @param machines addresses of the control machines as seen from this process
   * @param gossipAddress address for gossip; null for a front without gossip
   */
  public record Options(
      Member member,
      String leaseAddress,
      List<ControlMachine> machines,
      String gossipAddress,
      List<String> seeds,
      Path keyFile,
      Path record,
      Span heartbeat) {}

  private final Options options;
  private final ProcessRecord record;
  private LeaseNode lease;
  private MembershipNode gossip;

  private LeaseProcess(Options options, ProcessRecord record) {
    this.options = options;
    this.record = record;
  }

  /** Returns the default settings with all durations scaled to the given heartbeat interval. */
  public static LeaseSettings settings(Span heartbeat) {
    return LeaseSettings.USUAL.withHeartbeat(heartbeat);
  }

  /** Runs until input arrives or ends. */
  public static void run(Options options) throws IOException, InterruptedException {
    try (ProcessRecord record = new ProcessRecord(options.record())) {
      new LeaseProcess(options, record).run();
    }
  }

  private void run() throws IOException, InterruptedException {
    byte[] key = Files.readAllBytes(options.keyFile());
    Member self = options.member();
    if (options.gossipAddress() != null) {
      gossip =
          new MembershipNode(
              MembershipSettings.DEFAULT.withPeriod(options.heartbeat()),
              new Member(self.number(), options.gossipAddress(), self.zone(), self.region()),
              options.seeds(),
              key,
              this::recordUpdate);
      gossip.start();
    }
    if (options.leaseAddress() != null) {
      lease =
          new LeaseNode(
              settings(options.heartbeat()),
              new Member(self.number(), options.leaseAddress(), self.zone(), self.region()),
              options.machines(),
              key,
              listener(),
              null);
      lease.start();
    }
    Thread sampler = new Thread(this::sampleUntilInterrupted, "looks");
    sampler.setDaemon(true);
    sampler.start();
    System.in.read(); // blocks until input arrives or ends
    close();
  }

  private void sampleUntilInterrupted() {
    try {
      while (true) {
        Thread.sleep(SAMPLE_INTERVAL_MS);
        recordSample();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void close() {
    if (lease != null) {
      lease.close();
    }
    if (gossip != null) {
      gossip.close();
    }
  }

  private LeaseNode.Listener listener() {
    return new LeaseNode.Listener() {
      @Override
      public void changed(DirectoryEntry entry) {
        record.write("changed", ControlProcess.fields(entry));
      }

      @Override
      public void superseded(long incarnation) {
        record.write("superseded", "\"incarnation\":" + incarnation);
      }
    };
  }

  private void recordUpdate(MemberUpdate update) {
    record.write(
        "gossip",
        "\"number\":"
            + update.member().number()
            + ",\"standing\":\""
            + update.state()
            + "\",\"incarnation\":"
            + update.incarnation());
  }

  private void recordSample() {
    if (lease == null) {
      record.write("combined", combinedFields(List.of()));
    } else {
      lease.query(this::recordSample);
    }
  }

  /**
   * Records the view. The wall clock is read before the lease is checked, so that a pause between
   * the two cannot record an expired lease as held.
   */
  private void recordSample(LeaseAgent agent) {
    long readAtMs = System.currentTimeMillis();
    Moment now = DatagramLoop.now();
    String present =
        agent.view().present().stream()
            .map(entry -> "" + entry.member().number())
            .collect(Collectors.joining(","));
    record.write(
        readAtMs,
        "holds",
        "\"lease\":"
            + agent.holdsLease(now)
            + ",\"incarnation\":"
            + agent.incarnation()
            + ",\"version\":"
            + agent.view().version()
            + ",\"mode\":\""
            + agent.mode(now)
            + "\",\"age\":"
            + agent.age(now).micros() / 1000
            + ",\"present\":["
            + present
            + "],"
            + ControlProcess.fields(lease.channel().drops()));
    record.write(readAtMs, "combined", combinedFields(agent.view().present()));
  }

  private String combinedFields(List<DirectoryEntry> present) {
    List<MemberUpdate> gossipMembers = gossip == null ? List.of() : gossip.members();
    String members =
        CombinedView.of(present, gossipMembers).stream()
            .map(peer -> "{\"number\":" + peer.member().number() + ",\"by\":\"" + peer.by() + "\"}")
            .collect(Collectors.joining(","));
    MembershipNode.Drops drops =
        gossip == null ? new MembershipNode.Drops(0, 0, 0) : gossip.drops();
    return "\"all\":["
        + members
        + "],"
        + ControlProcess.fields(
            new SealedChannel.Drops(drops.strangers(), drops.replayed(), drops.unreadable(), 0));
  }
}
