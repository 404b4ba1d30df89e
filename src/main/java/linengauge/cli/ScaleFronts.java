package linengauge.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import linengauge.scale.MachineLimits;
import linengauge.scale.ScaleRecorder;
import linengauge.scale.ScaleResult.Kind;
import linengauge.scale.fronts.FrontPlan;
import linengauge.scale.fronts.RealFronts;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Measures a real front. */
@Command(
    name = "fronts",
    mixinStandardHelpOptions = true,
    description =
        "Measure memory and processor time of one real front by connection, set-up and delivery.")
final class ScaleFronts implements Callable<Integer> {
  private static final Pattern RUN_LINE = Pattern.compile("(?m)^run = \"(.*)\"");
  private static final long FRONT_BYTES = 160L << 20;
  private static final long RIG_HEAP_BYTES = 200L << 20;
  private static final int OTHER_DESCRIPTORS = 500;
  private static final int MAX_SIZE = 8000;

  /** The kind of load that one invocation measures. */
  enum Load {
    CONNECTIONS("connections"),
    MESSAGES("messages a second");

    private final String sizeUnit;

    Load(String sizeUnit) {
      this.sizeUnit = sizeUnit;
    }
  }

  @Spec private CommandSpec spec;

  @Option(
      names = "--load",
      required = true,
      description = "connections (idle, playing, reconnecting) or messages (set-ups, deliveries)")
  private Load load;

  @Option(
      names = "--sizes",
      split = ",",
      required = true,
      description = "numbers of connections, or messages a second")
  private List<Integer> sizes;

  @Option(names = "--runs", defaultValue = "3", description = "runs of each size (default: 3)")
  private int runs;

  @Option(
      names = "--seconds",
      defaultValue = "10",
      description = "measured seconds for each load (default: 10)")
  private int seconds;

  @Option(
      names = "--descriptors",
      defaultValue = "8192",
      description = "descriptor limit given to the front (default: 8192)")
  private int descriptors;

  @Option(
      names = "--deploy",
      defaultValue = "deploy/balancer.toml",
      paramLabel = "FILE.toml",
      description = "file whose run line starts the front, from the parent of the file's folder")
  private Path deploy;

  @Option(names = "--out", required = true, paramLabel = "FILE.json", description = "result file")
  private Path out;

  @Override
  public Integer call() throws IOException, InterruptedException {
    ScaleCommands.refuse(spec, refusals());
    Path root = deploy.toAbsolutePath().getParent().getParent();
    var plan = new FrontPlan(runLine(), root, sizes, sizes, runs, seconds, descriptors);
    var fronts =
        new RealFronts(
            plan, (event, size, run) -> System.err.println(event + ", " + size + ", run " + run));
    var recorder =
        new ScaleRecorder(
            out, ScaleCommands.heading(spec, List.of(), runs, Kind.REAL_SOCKETS, load.sizeUnit));
    if (load == Load.CONNECTIONS) {
      fronts.connections(recorder);
    } else {
      fronts.messages(recorder);
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
      var wanted =
          new MachineLimits.Wanted(
              FRONT_BYTES + RIG_HEAP_BYTES, RIG_HEAP_BYTES, size + (long) OTHER_DESCRIPTORS, 2);
      MachineLimits.here().passedBy(wanted).forEach(reason -> reasons.add(size + ": " + reason));
    }
    if (runs < 1 || seconds < 1 || descriptors < 1) {
      reasons.add("--runs, --seconds and --descriptors must be 1 or more");
    }
    if (!Files.isReadable(deploy)) {
      reasons.add("--deploy: " + deploy + " cannot be read");
    }
    return reasons;
  }

  private String runLine() throws IOException {
    Matcher run = RUN_LINE.matcher(Files.readString(deploy));
    if (!run.find()) {
      throw new IOException(deploy + " has no run line");
    }
    return run.group(1);
  }
}
