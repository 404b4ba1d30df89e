package linengauge.scale.hollow;

import com.sun.management.OperatingSystemMXBean;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.nio.file.Files;
import java.nio.file.Path;

/** What this process has used so far. */
final class ProcessMeter {
  private final OperatingSystemMXBean system =
      (OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();

  double processorMillis() {
    return system.getProcessCpuTime() / 1e6;
  }

  /** Resident memory, or -1 where the system does not say. */
  static long residentKb() {
    try {
      for (String line : Files.readAllLines(Path.of("/proc/self/status"))) {
        if (line.startsWith("VmRSS:")) {
          return Long.parseLong(line.replaceAll("[^0-9]", ""));
        }
      }
    } catch (IOException e) {
      return -1;
    }
    return -1;
  }

  /** Heap used after a collection, which it makes. */
  static long heapKb() {
    System.gc();
    return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed() / 1024;
  }
}
