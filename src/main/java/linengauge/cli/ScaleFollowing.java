package linengauge.cli;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import linengauge.scale.MachineLimits;
import linengauge.scale.ScaleRecorder;
import linengauge.scale.ScaleResult.Kind;
import linengauge.scale.log.LogFollowing;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Measures the cost of following the decided log. */
@Command(
    name = "following",
    mixinStandardHelpOptions = true,
    description =
        "Measure the cost to a front of following the decided log (configuration), on loopback.")
final class ScaleFollowing implements Callable<Integer> {
  private static final long HEAP_BYTES = 512L << 20;
  private static final long BYTES_PER_FOLLOWER = 2L << 20;
  private static final int DESCRIPTORS_PER_FOLLOWER = 6;
  private static final int MAX_SIZE = 600;
  private static final int MAX_CHANGES_PER_MINUTE = 600;

  @Spec private CommandSpec spec;

  @Option(names = "--sizes", split = ",", required = true, description = "numbers of followers")
  private List<Integer> sizes;

  @Option(
      names = "--seconds",
      defaultValue = "20",
      description = "measured seconds for each size (default: 20)")
  private int seconds;

  @Option(
      names = "--changes-a-minute",
      defaultValue = "0",
      description = "changes decided meanwhile (default: 0)")
  private int changes;

  @Option(names = "--out", required = true, paramLabel = "FILE.json", description = "result file")
  private Path out;

  @Override
  public Integer call() throws Exception {
    ScaleCommands.refuse(spec, refusals());
    ScaleRecorder recorder =
        new ScaleRecorder(
            out, ScaleCommands.heading(spec, List.of(), 1, Kind.REAL_SOCKETS, "followers"));
    for (int size : sizes) {
      recorder.add(LogFollowing.measure(new LogFollowing.Plan(size, seconds, changes)));
    }
    recorder.complete();
    return 0;
  }

  private List<String> refusals() {
    List<String> reasons = new ArrayList<>();
    for (int size : sizes) {
      if (size < 1 || size > MAX_SIZE) {
        reasons.add(size + ": sizes must be from 1 to " + MAX_SIZE);
      }
      MachineLimits.Wanted wanted =
          new MachineLimits.Wanted(
              HEAP_BYTES + size * BYTES_PER_FOLLOWER,
              HEAP_BYTES,
              size * (long) DESCRIPTORS_PER_FOLLOWER,
              1);
      MachineLimits.here().passedBy(wanted).forEach(reason -> reasons.add(size + ": " + reason));
    }
    if (seconds < 1 || changes < 0 || changes > MAX_CHANGES_PER_MINUTE) {
      reasons.add("--seconds must be 1 or more, --changes-a-minute 0 to " + MAX_CHANGES_PER_MINUTE);
    }
    return reasons;
  }
}
