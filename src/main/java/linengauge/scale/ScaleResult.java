package linengauge.scale;

import java.lang.management.ManagementFactory;
import java.util.List;

/**
 * What one command measured, as it is kept in a file.
 *
 * @param version of this form; others are refused
 * @param command that gives it again
 * @param seeds of the runs; empty where chance has no seed
 * @param runs how often each size was measured
 * @param date of the run, as 2026-12-02
 * @param sizeUnit what sizes count: "fronts", "connections"
 */
public record ScaleResult(
    int version,
    String command,
    List<Long> seeds,
    int runs,
    String date,
    Machine machine,
    Kind kind,
    Completeness completeness,
    String sizeUnit,
    List<Measurement> measurements) {
  /** The version of the form that this program writes and reads. */
  public static final int VERSION = 1;

  /** Where the figures come from. */
  public enum Kind {
    /** The cores in virtual time. */
    SIMULATED("simulated"),
    /** Processes and sockets on loopback. */
    REAL_SOCKETS("real sockets");

    private final String label;

    Kind(String label) {
      this.label = label;
    }

    public String label() {
      return label;
    }
  }

  /** Whether the run came to its end. */
  public enum Completeness {
    COMPLETE,
    /** It was stopped, or failed on its way. */
    PARTIAL
  }

  /**
   * The machine that it ran on.
   *
   * @param cores that the measuring process may use
   */
  public record Machine(int cores, long memoryMb, String java) {
    /** This one. */
    public static Machine here() {
      var system =
          (com.sun.management.OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();
      return new Machine(
          Runtime.getRuntime().availableProcessors(),
          system.getTotalMemorySize() >> 20,
          System.getProperty("java.version"));
    }
  }

  public ScaleResult {
    seeds = List.copyOf(seeds);
    measurements = List.copyOf(measurements);
  }

  /** The same with other measurements. */
  public ScaleResult with(Completeness reached, List<Measurement> measured) {
    return new ScaleResult(
        version, command, seeds, runs, date, machine, kind, reached, sizeUnit, measured);
  }
}
