package linengauge.scale.hollow;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;
import linengauge.consensus.LogFollower;
import linengauge.consensus.RaftSettings;
import linengauge.consensus.SaveFailedException;
import linengauge.consensus.tcp.ConsensusNode;
import linengauge.consensus.tcp.ConsensusStore;
import linengauge.drill.VoterStores;
import linengauge.lease.DirectoryEntry;
import linengauge.lease.MemberDirectory;
import linengauge.lease.udp.ControlNode;
import linengauge.udp.SealedChannel;

/** One control machine as a process of a run: nothing about it is hollow. */
final class HollowControl implements HollowChild.Part {
  /** Connections beside those of the followers: of the other control machines, both ways. */
  private static final int OTHER_CONNECTIONS = 64;

  private final RegionGate gate;
  private final ProcessMeter meter = new ProcessMeter();
  private final Set<Integer> gone = ConcurrentHashMap.newKeySet();
  private final ControlNode node;
  private volatile int leader = -1;

  HollowControl(HollowSpec spec) throws IOException {
    HollowPorts ports = spec.ports();
    byte[] key = Files.readAllBytes(Path.of(spec.files().key()));
    gate = new RegionGate(ports, ports.regionOfMachine(spec.index()));
    ConsensusNode.Settings log =
        new ConsensusNode.Settings(
            spec.index(),
            "127.0.0.1:" + ports.logPort(spec.index()),
            new TreeMap<>(spec.logWays()),
            key,
            RaftSettings.USUAL,
            LogFollower.Terms.USUAL,
            spec.fleet().fronts() + OTHER_CONNECTIONS);
    ControlNode.Settings settings =
        new ControlNode.Settings(
            spec.lease(),
            spec.index(),
            ports.machines().get(spec.index()).address(),
            ports.machines(),
            log);
    node = new ControlNode(settings, store(spec, key), listener());
    node.channel().setFilter(gate);
  }

  private static ConsensusStore store(HollowSpec spec, byte[] key) throws IOException {
    if (spec.files().store() == null) {
      return null;
    }
    try {
      return VoterStores.open(
          Path.of(spec.files().store()),
          key,
          spec.index(),
          spec.ports().voters(),
          true,
          new MemberDirectory(spec.lease()));
    } catch (SaveFailedException e) {
      throw new IOException(e);
    }
  }

  private ControlNode.Listener listener() {
    return new ControlNode.Listener() {
      @Override
      public void changed(DirectoryEntry entry) {
        if (entry.state() == DirectoryEntry.State.EXPIRED) {
          gone.add(entry.member().number());
        }
      }

      @Override
      public void logViewChanged(ConsensusNode.View view) {
        // the directory says who leads
      }
    };
  }

  @Override
  public void start() {
    node.start();
  }

  @Override
  public void told(String[] words) {
    // nothing beside what all know
  }

  @Override
  public void cut(HollowEvent.Direction direction) {
    gate.cut(direction);
  }

  @Override
  public HollowSample sample(boolean watches, long heapKb) {
    node.query((directory, registrar) -> leader = directory.leader());
    SealedChannel.Traffic udp = node.channel().traffic();
    ConsensusNode.Traffic log = node.logTraffic();
    SealedChannel.Drops drops = node.channel().drops();
    List<Integer> lost = List.copyOf(new TreeSet<>(gone));
    gone.removeAll(lost);
    return new HollowSample(
        System.currentTimeMillis(),
        meter.processorMillis(),
        ProcessMeter.residentKb(),
        heapKb,
        new HollowSample.Traffic(udp.sent(), udp.sentBytes(), udp.received(), udp.receivedBytes()),
        log.sentBytes() + log.receivedBytes(),
        0,
        0,
        0,
        Map.of(),
        0,
        lost,
        leader,
        Map.of(
            "strangers", drops.strangers(),
            "replayed", drops.replayed(),
            "unreadable", drops.unreadable() + drops.otherVersions()));
  }

  @Override
  public void close() {
    node.close();
  }
}
