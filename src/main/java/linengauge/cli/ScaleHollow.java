package linengauge.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.stream.Stream;
import linengauge.Span;
import linengauge.lease.LeaseSettings;
import linengauge.membership.MembershipSettings;
import linengauge.scale.HollowMeasurements;
import linengauge.scale.MachineLimits;
import linengauge.scale.NamedHollowEvents;
import linengauge.scale.ScaleRecorder;
import linengauge.scale.ScaleResult.Kind;
import linengauge.scale.hollow.HollowFigures;
import linengauge.scale.hollow.HollowFleet;
import linengauge.scale.hollow.HollowPlan;
import linengauge.scale.hollow.HollowPlan.Method;
import linengauge.scale.hollow.HollowPlanRefused;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Measures the control parts of fronts in isolation, over real sockets. */
@Command(
    name = "hollow",
    mixinStandardHelpOptions = true,
    description =
        "Measure hollow fronts: only the control parts, many in a process, over real sockets.")
final class ScaleHollow implements Callable<Integer> {
  private static final int ZONES = 6;
  private static final int REGIONS = 3;

  /** Memory of a Java process beside its heap. */
  private static final long NON_HEAP_MB_PER_PROCESS = 90;

  @Spec private CommandSpec spec;

  @Option(
      names = "--fronts",
      split = ",",
      required = true,
      description = "numbers of fronts in a fleet, for example 60")
  private List<Integer> sizes;

  @Option(
      names = "--processes",
      defaultValue = "12",
      description = "processes that share the fronts (default: 12)")
  private int processes;

  @Option(
      names = "--control",
      defaultValue = "6",
      description = "number of control machines (default: 6)")
  private int control;

  @Option(
      names = "--voters",
      defaultValue = "5",
      description = "control machines that vote (default: 5)")
  private int voters;

  @Option(
      names = "--methods",
      split = ",",
      defaultValue = "lease",
      description = "lease, gossip or both side by side (default: lease)")
  private List<Method> methods;

  @Option(
      names = "--event",
      split = ",",
      description =
          "events after the quiet phase, in this order, for example restart-tenth,kill-leader")
  private List<String> events = new ArrayList<>();

  @Option(
      names = "--followers-each",
      defaultValue = "0",
      description = "one in this many fronts follows the log; 0 for none (default: 0)")
  private int followersEach;

  @Option(names = "--settle", defaultValue = "5", description = "seconds to settle (default: 5)")
  private int settleSeconds;

  @Option(
      names = "--quiet",
      defaultValue = "60",
      description = "seconds of the quiet phase (default: 60)")
  private int quietSeconds;

  @Option(
      names = "--wait",
      defaultValue = "60",
      description = "longest wait in seconds (default: 60)")
  private int waitSeconds;

  @Option(
      names = "--heap-mb",
      defaultValue = "256",
      description = "heap of each process (default: 256)")
  private int heapMb;

  @Option(
      names = "--first-port",
      defaultValue = "28000",
      description = "first port used (default: 28000)")
  private int firstPort;

  @Option(names = "--runs", defaultValue = "1", description = "runs of each size (default: 1)")
  private int runs;

  @Option(names = "--out", required = true, paramLabel = "FILE.json", description = "result file")
  private Path out;

  @CommandLine.Mixin private Commands.LogOptions log;

  @Override
  public Integer call() throws IOException {
    log.apply();
    ScaleCommands.refuse(spec, refusals());
    var recorder =
        new ScaleRecorder(
            out, ScaleCommands.heading(spec, List.of(), runs, Kind.REAL_SOCKETS, "fronts"));
    for (int size : sizes) {
      List<HollowFigures> figures = new ArrayList<>();
      for (int run = 0; run < runs; run++) {
        HollowFigures result = run(size);
        figures.add(result);
        if (result.partial()) {
          recorder.add(HollowMeasurements.of(figures));
          System.err.println("linengauge: " + size + " fronts: " + result.cause());
          return 1;
        }
      }
      recorder.add(HollowMeasurements.of(figures));
    }
    recorder.complete();
    return 0;
  }

  private HollowFigures run(int size) throws IOException {
    Path folder = Files.createTempDirectory("linengauge-hollow");
    try {
      return HollowFleet.run(plan(size, folder));
    } catch (HollowPlanRefused e) {
      ScaleCommands.refuse(spec, List.of(size + " fronts: " + e.getMessage()));
      throw new IllegalStateException(e);
    } finally {
      deleteAll(folder);
    }
  }

  private static void deleteAll(Path folder) throws IOException {
    try (Stream<Path> files = Files.walk(folder)) {
      for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
        Files.deleteIfExists(file);
      }
    }
  }

  private HollowPlan plan(int size, Path folder) {
    var named = NamedHollowEvents.all();
    var fleet = new HollowPlan.Fleet(size, ZONES, REGIONS, processes, control, voters);
    var times =
        new HollowPlan.Times(
            Span.ofSeconds(settleSeconds),
            Span.ofSeconds(quietSeconds),
            Span.ofSeconds(waitSeconds));
    return new HollowPlan(
        methods,
        fleet,
        followersEach,
        LeaseSettings.USUAL,
        MembershipSettings.DEFAULT,
        times,
        events.stream().map(named::get).toList(),
        heapMb,
        new HollowPlan.Machine(folder, firstPort));
  }

  private List<String> refusals() {
    List<String> reasons = new ArrayList<>();
    var known = NamedHollowEvents.all().keySet();
    events.stream()
        .filter(event -> !known.contains(event))
        .forEach(event -> reasons.add("unknown event '" + event + "'; expected one of " + known));
    if (runs < 1 || processes < 1 || quietSeconds < 1 || control < 1 || voters < 1) {
      reasons.add("counts and seconds must be 1 or more");
    }
    for (int size : sizes) {
      if (size < processes) {
        reasons.add(size + " fronts: there are more processes than fronts");
      }
      int totalProcesses = methods.size() * processes + control;
      long memory = totalProcesses * (heapMb + NON_HEAP_MB_PER_PROCESS) << 20;
      long descriptors = size / Math.max(1, processes) * 2L;
      var wanted = new MachineLimits.Wanted(memory, 0, descriptors, totalProcesses);
      MachineLimits.here()
          .passedBy(wanted)
          .forEach(reason -> reasons.add(size + " fronts: " + reason));
    }
    return reasons;
  }
}
