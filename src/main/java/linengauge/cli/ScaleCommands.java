package linengauge.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.LocalDate;
import java.time.ZoneOffset;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.stream.LongStream;
import linengauge.scale.BadScaleResult;
import linengauge.scale.FleetSimulator;
import linengauge.scale.GossipSimulator;
import linengauge.scale.LeaseSimulator;
import linengauge.scale.MachineLimits;
import linengauge.scale.Measurement;
import linengauge.scale.PageTables;
import linengauge.scale.ScaleRecorder;
import linengauge.scale.ScaleResult;
import linengauge.scale.ScaleResult.Completeness;
import linengauge.scale.ScaleResult.Kind;
import linengauge.scale.ScaleResult.Machine;
import linengauge.scale.ScaleResultFile;
import linengauge.scale.ScaleTables;
import linengauge.scale.SimulationSweep;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/**
 * Measures the cost of each role against size, fits curves to the figures, and prints the tables of
 * the capacity page.
 */
@Command(
    name = "scale",
    mixinStandardHelpOptions = true,
    description = "Measure the cost of each role against size, fit curves and print tables.",
    subcommands = {
      ScaleCommands.Simulate.class,
      ScaleHollow.class,
      ScaleFollowing.class,
      ScaleFronts.class,
      ScaleCommands.Fit.class,
      ScaleCommands.Tables.class
    })
final class ScaleCommands implements Callable<Integer> {
  @Spec private CommandSpec spec;

  @Override
  public Integer call() {
    spec.commandLine().usage(System.err);
    return 2;
  }

  /**
   * Rejects a command before it starts, for wrong usage or because it exceeds the machine's limits.
   */
  static void refuse(CommandSpec spec, List<String> reasons) {
    if (!reasons.isEmpty()) {
      throw new ParameterException(
          spec.commandLine(), String.join(System.lineSeparator(), reasons));
    }
  }

  /** Creates a result without measurements, with the command as it was given. */
  static ScaleResult heading(
      CommandSpec spec, List<Long> seeds, int runs, Kind kind, String sizeUnit) {
    List<String> given = new ArrayList<>(spec.root().commandLine().getParseResult().originalArgs());
    given.add(0, "linengauge");
    return new ScaleResult(
        ScaleResult.VERSION,
        String.join(" ", given),
        seeds,
        runs,
        LocalDate.now(ZoneOffset.UTC).toString(),
        Machine.here(),
        kind,
        Completeness.PARTIAL,
        sizeUnit,
        List.<Measurement>of());
  }

  @Command(
      name = "simulate",
      mixinStandardHelpOptions = true,
      description = "Simulate a fleet's membership in virtual time at several sizes, from seeds.")
  static final class Simulate implements Callable<Integer> {
    @Spec private CommandSpec spec;

    @Option(names = "--mechanism", required = true, description = "gossip or lease")
    private String mechanism;

    @Option(
        names = "--sizes",
        split = ",",
        required = true,
        paramLabel = "FRONTS",
        description = "numbers of fronts, for example 60,220,440,900")
    private List<Integer> sizes;

    @Option(
        names = "--seeds",
        defaultValue = "3",
        paramLabel = "N",
        description = "seeds from 1 to N for each size (default: 3)")
    private int seeds;

    @Option(
        names = "--event",
        split = ",",
        description = "measure only these events, for example quiet,start (default: all)")
    private List<String> events = new ArrayList<>();

    @Option(names = "--out", required = true, paramLabel = "FILE.json", description = "result file")
    private Path out;

    @Override
    public Integer call() throws IOException {
      var simulator = simulator();
      if (seeds < 1) {
        refuse(spec, List.of("--seeds must be 1 or more"));
      }
      List<Long> seedList = LongStream.rangeClosed(1, seeds).boxed().toList();
      var sweep = new SimulationSweep(simulator, sizes, seedList, events);
      refuse(spec, sweep.refusals(MachineLimits.here()));
      var recorder =
          new ScaleRecorder(out, heading(spec, seedList, seeds, Kind.SIMULATED, "fronts"));
      sweep.run(recorder);
      recorder.complete();
      return 0;
    }

    private FleetSimulator simulator() {
      List<FleetSimulator> simulators = List.of(new GossipSimulator(), new LeaseSimulator());
      for (FleetSimulator simulator : simulators) {
        if (simulator.subject().equals(mechanism)) {
          return simulator;
        }
      }
      throw new ParameterException(
          spec.commandLine(), "unknown mechanism '" + mechanism + "'; expected gossip or lease");
    }
  }

  @Command(
      name = "fit",
      mixinStandardHelpOptions = true,
      description =
          "Fit linear, logarithmic and quadratic curves to the measured figures, with residuals.")
  static final class Fit implements Callable<Integer> {
    @Parameters(arity = "1..*", paramLabel = "FILE.json")
    private List<Path> files;

    @Override
    public Integer call() {
      List<ScaleResult> results = new ArrayList<>();
      try {
        for (Path file : files) {
          results.add(ScaleResultFile.read(file));
        }
      } catch (BadScaleResult e) {
        System.err.println("linengauge: " + e.getMessage());
        return 2;
      }
      System.out.print(ScaleTables.fits(results));
      return 0;
    }
  }

  @Command(
      name = "tables",
      mixinStandardHelpOptions = true,
      description = "Print the page's tables from the results, or check that they are up to date.")
  static final class Tables implements Callable<Integer> {
    @Option(names = "--page", defaultValue = "docs/CAPACITY.md", paramLabel = "FILE.md")
    private Path page;

    @Option(names = "--results", defaultValue = "docs/measurements/scale", paramLabel = "FOLDER")
    private Path results;

    @Option(names = "--check", description = "write nothing; exit 1 if page and results differ")
    private boolean check;

    @Override
    public Integer call() throws IOException {
      try {
        String current = Files.readString(page);
        String printed = PageTables.printed(current, ScaleResultFile.readAll(results));
        if (printed.equals(current)) {
          return 0;
        }
        if (check) {
          System.err.println("linengauge: " + page + " and the results in " + results + " differ");
          return 1;
        }
        Files.writeString(page, printed);
        return 0;
      } catch (BadScaleResult | PageTables.BadPage | java.nio.file.NoSuchFileException e) {
        System.err.println("linengauge: " + page + ": " + e.getMessage());
        return 2;
      }
    }
  }
}
