package linengauge.scale;

import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.List;

/**
 * What this machine bears, to be asked before a run begins: a run that outgrows it would be ended
 * by the system halfway, with figures of a machine that was short of memory.
 *
 * @param memoryBytes that processes may take together: half of the machine's
 * @param heapBytes that this process may take
 * @param descriptors that one process may hold
 * @param processes that a run may start
 */
public record MachineLimits(long memoryBytes, long heapBytes, long descriptors, int processes) {
  private static final int MOST_PROCESSES = 300;

  /** What a run wants, by the same names. */
  public record Wanted(long memoryBytes, long heapBytes, long descriptors, int processes) {}

  /** The limits of this machine and process. */
  public static MachineLimits here() {
    var system =
        (com.sun.management.UnixOperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();
    return new MachineLimits(
        system.getTotalMemorySize() / 2,
        Runtime.getRuntime().maxMemory(),
        system.getMaxFileDescriptorCount(),
        MOST_PROCESSES);
  }

  /** A line for each limit that the run would pass; none where it fits. */
  public List<String> passedBy(Wanted run) {
    List<String> passed = new ArrayList<>();
    check(passed, "bytes of memory", run.memoryBytes(), memoryBytes);
    check(passed, "bytes of this process's heap", run.heapBytes(), heapBytes);
    check(passed, "descriptors", run.descriptors(), descriptors);
    check(passed, "processes", run.processes(), processes);
    return passed;
  }

  private static void check(List<String> passed, String what, long wanted, long limit) {
    if (wanted > limit) {
      passed.add(String.format("it wants %,d %s, there are %,d", wanted, what, limit));
    }
  }
}
