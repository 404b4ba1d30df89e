package linengauge.scale.hollow;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import linengauge.lease.LeaseAgent;
import linengauge.udp.DatagramLoop;
import linengauge.udp.SealedChannel;

/** The fronts of one process, all on one loop. */
final class HollowFronts implements HollowChild.Part {
  private static final long LONGEST_ASK_MS = 2000;

  private final HollowSpec spec;
  private final DatagramLoop loop = new DatagramLoop("hollow-fronts");
  private final RegionGate gate;
  private final ProcessMeter meter = new ProcessMeter();
  private final Set<Integer> gone = ConcurrentHashMap.newKeySet();
  private final List<HollowFront> fronts = new ArrayList<>();
  private final Map<HollowFront, Long> wireBefore = new HashMap<>();

  HollowFronts(HollowSpec spec) throws IOException {
    this.spec = spec;
    byte[] key = Files.readAllBytes(Path.of(spec.files().key()));
    HollowPlan.Fleet fleet = spec.fleet();
    int region = fleet.regionOfZone(fleet.zoneOfProcess(spec.index()));
    gate = new RegionGate(spec.ports(), region);
    for (int i = fleet.firstFront(spec.index()); i < fleet.firstFront(spec.index() + 1); i++) {
      fronts.add(new HollowFront(spec, i, key, loop, gate, gone));
    }
  }

  @Override
  public void start() {
    fronts.forEach(HollowFront::start);
  }

  @Override
  public void told(String[] words) throws IOException {
    if (words[0].equals("restart")) {
      int count = Integer.parseInt(words[1]);
      synchronized (fronts) {
        for (HollowFront front : fronts.subList(0, count)) {
          front.restart();
        }
      }
    }
  }

  @Override
  public void cut(HollowEvent.Direction direction) {
    gate.cut(direction);
  }

  @Override
  public HollowSample sample(boolean watches, long heapKb) {
    synchronized (fronts) {
      Watched watched = watches ? watch() : new Watched(Map.of(), 0);
      List<Integer> lost = List.copyOf(new TreeSet<>(gone));
      gone.removeAll(lost);
      HollowSample.Traffic traffic = HollowSample.Traffic.NONE;
      long highest = 0;
      for (HollowFront front : fronts) {
        HollowSample.Traffic ofFront = front.traffic();
        Long before = wireBefore.put(front, ofFront.wireBytes());
        highest = Math.max(highest, before == null ? 0 : ofFront.wireBytes() - before);
        traffic = traffic.plus(ofFront);
      }
      return new HollowSample(
          System.currentTimeMillis(),
          meter.processorMillis(),
          ProcessMeter.residentKb(),
          heapKb,
          traffic,
          fronts.stream().mapToLong(HollowFront::logBytes).sum(),
          fronts.size(),
          (int) fronts.stream().filter(HollowFront::follows).count(),
          highest,
          watched.views(),
          watched.ownSum(),
          lost,
          -1,
          drops());
    }
  }

  private Map<String, Long> drops() {
    long strangers = 0;
    long replayed = 0;
    long unreadable = 0;
    for (HollowFront front : fronts) {
      SealedChannel.Drops drops = front.drops();
      strangers += drops.strangers();
      replayed += drops.replayed();
      unreadable += drops.unreadable() + drops.otherVersions();
    }
    return Map.of("strangers", strangers, "replayed", replayed, "unreadable", unreadable);
  }

  /** How many fronts hold which set, and the sum of this process's own. */
  private record Watched(Map<Long, Integer> views, long ownSum) {}

  private Watched watch() {
    return spec.method() == HollowPlan.Method.LEASE ? watchLeases() : watchGossip();
  }

  private Watched watchGossip() {
    Map<Long, Integer> views = new HashMap<>();
    long ownSum = 0;
    for (HollowFront front : fronts) {
      views.merge(MemberSum.ofGossip(front.number(), front.gossip().members()), 1, Integer::sum);
      ownSum += MemberSum.of(front.number(), 0);
    }
    return new Watched(views, ownSum);
  }

  /** Which copy of the directory: views of one version and digest are alike. */
  private record Copy(long version, long digest) {}

  /** On the loop's thread; a loop that does not answer in time has nothing watched. */
  private Watched watchLeases() {
    Map<Long, Integer> views = new HashMap<>();
    Map<Copy, Long> sums = new HashMap<>();
    long[] ownSum = {0};
    CountDownLatch asked = new CountDownLatch(fronts.size());
    for (HollowFront front : fronts) {
      boolean taken =
          front
              .lease()
              .query(
                  agent -> {
                    views.merge(sum(agent, sums), 1, Integer::sum);
                    ownSum[0] += MemberSum.of(front.number(), agent.incarnation());
                    asked.countDown();
                  });
      if (!taken) {
        return new Watched(Map.of(), 0);
      }
    }
    try {
      return asked.await(LONGEST_ASK_MS, TimeUnit.MILLISECONDS)
          ? new Watched(views, ownSum[0])
          : new Watched(Map.of(), 0);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return new Watched(Map.of(), 0);
    }
  }

  private static long sum(LeaseAgent agent, Map<Copy, Long> sums) {
    Copy copy = new Copy(agent.view().version(), agent.view().digest());
    return sums.computeIfAbsent(copy, c -> MemberSum.ofDirectory(agent.view().entries()));
  }

  @Override
  public void close() {
    fronts.forEach(HollowFront::close);
    loop.close();
  }
}
