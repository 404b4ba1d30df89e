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
 * One front's membership alone, as a process: by lease, by gossip, or by both. Its record has one
 * line for each change as it comes and one for its view, ten a second. It ends as its input does,
 * and then says that it leaves.
 */
public final class LeaseProcess {
  private static final long EACH_MS = 100;

  /**
   * What it is started with.
   *
   * @param at where it takes lease datagrams; null: it has no lease
   * @param machines the control machines, as this process reaches them
   * @param gossipAt where it takes gossip; null: it does not
   */
  public record Start(
      Member member,
      String at,
      List<ControlMachine> machines,
      String gossipAt,
      List<String> seeds,
      Path keyFile,
      Path record,
      Span heartbeat) {}

  private final Start start;
  private final ProcessRecord record;
  private LeaseNode lease;
  private MembershipNode gossip;

  private LeaseProcess(Start start, ProcessRecord record) {
    this.start = start;
    this.record = record;
  }

  /** The usual settings, all spans in proportion to that heartbeat. */
  public static LeaseSettings settings(Span heartbeat) {
    return LeaseSettings.USUAL.withHeartbeat(heartbeat);
  }

  /** Runs until the input ends or says something. */
  public static void run(Start start) throws IOException, InterruptedException {
    try (ProcessRecord record = new ProcessRecord(start.record())) {
      new LeaseProcess(start, record).run();
    }
  }

  private void run() throws IOException, InterruptedException {
    byte[] key = Files.readAllBytes(start.keyFile());
    Member own = start.member();
    if (start.gossipAt() != null) {
      gossip =
          new MembershipNode(
              MembershipSettings.USUAL.inPeriods(start.heartbeat()),
              new Member(own.number(), start.gossipAt(), own.zone(), own.region()),
              start.seeds(),
              key,
              this::changed);
      gossip.start();
    }
    if (start.at() != null) {
      lease =
          new LeaseNode(
              settings(start.heartbeat()),
              new Member(own.number(), start.at(), own.zone(), own.region()),
              start.machines(),
              key,
              listener(),
              null);
      lease.start();
    }
    Thread looks = new Thread(this::looks, "looks");
    looks.setDaemon(true);
    looks.start();
    System.in.read(); // until it says something, or ends
    close();
  }

  private void looks() {
    try {
      while (true) {
        Thread.sleep(EACH_MS);
        look();
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
        record.line("changed", ControlProcess.fields(entry));
      }

      @Override
      public void superseded(long incarnation) {
        record.line("superseded", "\"incarnation\":" + incarnation);
      }
    };
  }

  private void changed(MemberUpdate update) {
    record.line(
        "gossip",
        "\"number\":"
            + update.member().number()
            + ",\"standing\":\""
            + update.standing()
            + "\",\"incarnation\":"
            + update.incarnation());
  }

  private void look() {
    if (lease == null) {
      record.line("combined", combined(List.of()));
    } else {
      lease.query(this::look);
    }
  }

  /**
   * The wall's clock is read before the lease: a pause between the two cannot make it look held.
   */
  private void look(LeaseAgent agent) {
    long at = System.currentTimeMillis();
    Moment now = DatagramLoop.now();
    String present =
        agent.view().present().stream()
            .map(entry -> "" + entry.member().number())
            .collect(Collectors.joining(","));
    record.line(
        at,
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
    record.line(at, "combined", combined(agent.view().present()));
  }

  private String combined(List<DirectoryEntry> present) {
    List<MemberUpdate> held = gossip == null ? List.of() : gossip.held();
    String all =
        CombinedView.of(present, held).stream()
            .map(p -> "{\"number\":" + p.member().number() + ",\"by\":\"" + p.by() + "\"}")
            .collect(Collectors.joining(","));
    MembershipNode.Drops drops =
        gossip == null ? new MembershipNode.Drops(0, 0, 0) : gossip.drops();
    return "\"all\":["
        + all
        + "],"
        + ControlProcess.fields(
            new SealedChannel.Drops(drops.strangers(), drops.replayed(), drops.unreadable(), 0));
  }
}
