package linengauge.scale.fronts;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * The resource usage of a process, as Linux reports it.
 *
 * @param processorSeconds user and system time since its start
 * @param residentBytes resident memory of the process
 * @param descriptors number of open files and sockets
 */
record ProcessUsage(double processorSeconds, long residentBytes, int descriptors) {
  /** The unit of /proc/PID/stat is the kernel's USER_HZ, 100 on every supported platform. */
  private static final double TICKS_PER_SECOND = 100;

  private static final int USER_TICKS_FIELD = 11;
  private static final int SYSTEM_TICKS_FIELD = 12;

  static ProcessUsage of(long pid) throws IOException {
    Path process = Path.of("/proc", Long.toString(pid));
    String stat = Files.readString(process.resolve("stat"));
    String status = Files.readString(process.resolve("status"));
    try (var descriptors = Files.list(process.resolve("fd"))) {
      return new ProcessUsage(
          processorSeconds(stat), residentBytes(status), (int) descriptors.count());
    }
  }

  /** Parses the line of /proc/PID/stat; the process name may contain spaces and parentheses. */
  static double processorSeconds(String stat) {
    String[] afterName = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
    long ticks =
        Long.parseLong(afterName[USER_TICKS_FIELD]) + Long.parseLong(afterName[SYSTEM_TICKS_FIELD]);
    return ticks / TICKS_PER_SECOND;
  }

  /** Parses the resident memory from the lines of /proc/PID/status. */
  static long residentBytes(String status) {
    for (String line : status.split("\n")) {
      if (line.startsWith("VmRSS:")) {
        return Long.parseLong(line.replaceAll("\\D", "")) * 1024;
      }
    }
    throw new IllegalArgumentException("status has no VmRSS line; the process has ended");
  }
}
