package linengauge.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import linengauge.Span;
import linengauge.drill.ConsensusProcess;
import linengauge.drill.ControlProcess;
import linengauge.drill.DayDrill;
import linengauge.drill.DayImporter;
import linengauge.drill.DayScript;
import linengauge.drill.ExploreDrill;
import linengauge.drill.FailoverDrill;
import linengauge.drill.LeaseProcess;
import linengauge.drill.MemberProcess;
import linengauge.drill.RelayDrill;
import linengauge.drill.Report;
import linengauge.drill.SlowPeersDrill;
import linengauge.drill.TryOut;
import linengauge.lease.ControlMachine;
import linengauge.membership.Member;
import linengauge.rules.InvalidRecordException;
import linengauge.rules.Judge;
import linengauge.rules.Verdict;
import linengauge.scale.hollow.HollowChild;
import linengauge.site.InvalidSiteException;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Drills on loopback, each a subcommand. */
@Command(
    name = "drill",
    mixinStandardHelpOptions = true,
    description =
        "Drills on loopback: faults are injected and rules judged from the recorded traffic.")
final class DrillCommands implements Callable<Integer> {
  @picocli.CommandLine.Spec private CommandLine.Model.CommandSpec spec;

  @Override
  public Integer call() {
    spec.commandLine().usage(System.err);
    return 2;
  }

  /** Options common to the drills. */
  static final class DrillOptions {
    @Option(
        names = "--seed",
        paramLabel = "N",
        defaultValue = "1",
        description = "seed of the random choices (default: 1)")
    long seed;

    @Option(
        names = "--report",
        paramLabel = "FILE.json",
        description = "also write the report to this file")
    Path report;

    @Option(
        names = "--traffic",
        paramLabel = "FILE.jsonl",
        description = "write the recorded traffic to this file")
    Path traffic;

    @CommandLine.Mixin Commands.LogOptions log;

    int finish(Report result) throws IOException {
      result.print(System.out);
      if (report != null) {
        result.write(report);
      }
      return result.hasPassed() ? 0 : 1;
    }
  }

  @Command(
      name = "bad-day",
      mixinStandardHelpOptions = true,
      description =
          "Run three fronts and twelve boxes through a day with most kinds of faults and check the six rules.")
  int badDay(
      @CommandLine.Mixin DrillOptions options,
      @Option(names = "--short", description = "a version of at most 25 s") boolean brief)
      throws IOException, InterruptedException {
    return playScript("builtin:bad-day" + (brief ? "-short" : ""), options);
  }

  @Command(name = "day", mixinStandardHelpOptions = true, description = "Play a day script.")
  int day(
      @Parameters(paramLabel = "DAY.json5") Path script, @CommandLine.Mixin DrillOptions options)
      throws IOException, InterruptedException {
    return playScript(script.toString(), options);
  }

  private static int playScript(String script, DrillOptions options)
      throws IOException, InterruptedException {
    options.log.apply();
    DayScript day;
    try {
      day = DayScript.read(script);
    } catch (InvalidSiteException e) {
      System.err.println(e.getMessage());
      return 1;
    }
    return options.finish(
        new DayDrill(day, options.seed, options.traffic, script.startsWith("builtin:")).run());
  }

  @Command(
      name = "try",
      mixinStandardHelpOptions = true,
      description = "Start the bad day's fleet without faults and keep it running, to try by hand.")
  int tryByHand(
      @CommandLine.Mixin Commands.LogOptions log,
      @Option(
              names = "--seconds",
              defaultValue = "600",
              description = "how long it runs (default: 600)")
          int seconds)
      throws IOException, InterruptedException, InvalidSiteException {
    log.apply();
    TryOut.run(DayScript.read("builtin:bad-day"), seconds, System.out);
    return 0;
  }

  @Command(
      name = "relay",
      mixinStandardHelpOptions = true,
      description =
          "Measure the overhead of a front over a bare relay in one run: joins, bytes, join time, event loops, heap.")
  int relay(
      @CommandLine.Mixin DrillOptions options,
      @Option(names = "--short", description = "a quick check, not a measurement") boolean brief)
      throws IOException, InterruptedException {
    options.log.apply();
    return options.finish(new RelayDrill(options.seed, brief).run());
  }

  @Command(
      name = "slow-peers",
      mixinStandardHelpOptions = true,
      description =
          "Measure healthy viewers beside a thousand slow ones and after a pause of the front;"
              + " check which viewers are disconnected and which must not be.")
  int slowPeers(
      @CommandLine.Mixin DrillOptions options,
      @Option(names = "--short", description = "about half a minute") boolean brief,
      @Option(
              names = "--guards",
              paramLabel = "on|off",
              defaultValue = "on",
              description = "off: viewers have no limits, and the drill has to fail")
          String guards,
      @Option(
              names = "--only",
              paramLabel = "WAY",
              description = "use a single kind of slow viewer: ${COMPLETION-CANDIDATES}")
          linengauge.standin.SlowPlayerSimulator.SlowMode only)
      throws IOException, InterruptedException {
    if (!guards.equals("on") && !guards.equals("off")) {
      throw new CommandLine.ParameterException(
          spec.commandLine(), "--guards must be on or off, not '" + guards + "'");
    }
    options.log.apply();
    return options.finish(
        new SlowPeersDrill(options.seed, brief, guards.equals("on"), only, options.traffic).run());
  }

  @Command(
      name = "failover",
      mixinStandardHelpOptions = true,
      description =
          "Run two fronts behind shared addresses on a stand-in LAN; kill, suspend, stop, cut off"
              + " and flap them; measure the outage viewers see and check address ownership.")
  int failover(
      @CommandLine.Mixin DrillOptions options,
      @Option(
              names = "--rounds",
              paramLabel = "N",
              defaultValue = "50",
              description = "number of faults, one at a time (default: 50)")
          int rounds,
      @Option(names = "--short", description = "five rounds without the baseline, about a minute")
          boolean brief,
      @Option(
              names = "--advert-ms",
              paramLabel = "MS",
              defaultValue = "100",
              description = "advertisement interval (default: 100)")
          int advertMs,
      @Option(names = "--no-baseline", description = "skip the baseline, the standard at 1 s")
          boolean withoutBaseline,
      @Option(
              names = "--additions",
              paramLabel = "on|off",
              defaultValue = "on",
              description = "off: only what the standard defines")
          String additions)
      throws IOException, InterruptedException {
    if (rounds < 1
        || rounds > 1000
        || advertMs < 10
        || advertMs > 10_000
        || advertMs % 10 != 0
        || !additions.equals("on") && !additions.equals("off")) {
      throw new CommandLine.ParameterException(
          spec.commandLine(),
          "--rounds must be 1 to 1000, --advert-ms a multiple of 10 from 10 to 10000,"
              + " --additions on or off");
    }
    options.log.apply();
    boolean withAdditions = additions.equals("on");
    Report result = new Report("failover" + (withAdditions ? "" : ", additions off"), options.seed);
    new FailoverDrill(
            options.seed,
            brief ? 5 : rounds,
            brief ? 0 : withAdditions ? 120 : 30,
            advertMs,
            withAdditions,
            options.traffic)
        .run(result, "pair");
    if (!brief && !withoutBaseline && withAdditions && advertMs == 100) {
      new FailoverDrill(options.seed + 1, Math.max(5, rounds / 10), 30, 1000, false, null)
          .run(result, "baseline, 1 s adverts");
    }
    if (!brief) {
      FailoverDrill.cost(result, advertMs);
    }
    return options.finish(result);
  }

  @Command(
      name = "explore",
      mixinStandardHelpOptions = true,
      description =
          "Run every schedule of faults up to a bound through the VRRP state machine:"
              + " one node has to become Active and remain so.")
  int explore(
      @CommandLine.Mixin DrillOptions options,
      @Option(
              names = "--depth",
              paramLabel = "N",
              defaultValue = "14",
              description = "number of events among which faults may occur (default: 14)")
          int depth,
      @Option(
              names = "--faults",
              paramLabel = "N",
              defaultValue = "2",
              description = "maximum number of faults (default: 2)")
          int faults)
      throws IOException {
    if (depth < 1 || depth > 40 || faults < 0 || faults > 5) {
      throw new CommandLine.ParameterException(
          spec.commandLine(), "--depth must be 1 to 40, --faults 0 to 5");
    }
    options.log.apply();
    return options.finish(ExploreDrill.run(depth, faults));
  }

  @Command(
      name = "bare-relay",
      hidden = true,
      description = "Run the baseline of `drill relay` as a separate process.")
  int bareRelay(
      @Parameters String host, @Parameters int port, @Parameters int box, @Parameters int loops)
      throws InterruptedException {
    System.setProperty("logback.configurationFile", "linengauge/log-text.xml");
    RelayDrill.bareRelay(host, port, box, loops);
    return 0;
  }

  @Command(
      name = "import",
      mixinStandardHelpOptions = true,
      description =
          "Convert a day drawn by the operators' simulator into a day script, scaled to loopback.")
  int convertDay(
      @Parameters(paramLabel = "DAY.json") Path drawn,
      @Option(
              names = {"-o", "--output"},
              required = true,
              paramLabel = "DAY.json5")
          Path script)
      throws IOException {
    DayImporter.Imported imported = DayImporter.read(Files.readAllBytes(drawn));
    Files.writeString(script, "// From " + drawn.getFileName() + ".\n" + imported.script());
    imported.changes().forEach(change -> System.out.println("changed: " + change));
    try {
      DayScript.read(script.toString());
    } catch (InvalidSiteException e) {
      System.err.println(e.getMessage());
      return 1;
    }
    return 0;
  }

  /** See {@link MemberProcess}. Only input ends it, not the end of its input. */
  @Command(
      name = "member",
      hidden = true,
      description = "Run a single front's gossip membership until there is input.")
  int member(
      @Option(names = "--number", required = true) int number,
      @Option(names = "--at", required = true) String at,
      @Option(names = "--zone") int zone,
      @Option(names = "--region") int region,
      @Option(names = "--seed", required = true) List<String> seeds,
      @Option(names = "--key-file", required = true) Path key,
      @Option(names = "--record", required = true) Path record,
      @Option(names = "--period-ms", defaultValue = "1000") long period,
      @CommandLine.Mixin Commands.LogOptions log)
      throws IOException, InterruptedException {
    log.apply();
    MemberProcess.run(
        new Member(number, at, zone, region), seeds, key, record, Span.ofMillis(period));
    return 0;
  }

  @Command(
      name = "council-member",
      hidden = true,
      description = "Run a single member of a consensus group, with commands from standard input.")
  int councilMember(
      @Option(names = "--number", required = true) int number,
      @Option(names = "--listen", required = true) String listen,
      @Option(names = "--voter", required = true) Map<Integer, String> voters,
      @Option(names = "--way") Map<Integer, String> ways,
      @Option(names = "--store") Path store,
      @Option(names = "--found") boolean founding,
      @Option(names = "--key-file", required = true) Path key,
      @Option(names = "--record", required = true) Path record,
      @Option(names = "--beat-ms", defaultValue = "100") long beat,
      @CommandLine.Mixin Commands.LogOptions log)
      throws IOException {
    log.apply();
    return ConsensusProcess.run(
        new ConsensusProcess.Options(
            number,
            listen,
            voters,
            ways == null ? Map.of() : ways,
            store,
            founding,
            key,
            record,
            Span.ofMillis(beat)));
  }

  /**
   * Parses control machine addresses as seen by a front or another control machine:
   * REGION@HOST:PORT.
   */
  private static List<ControlMachine> machines(Map<Integer, String> addresses) {
    return addresses.entrySet().stream()
        .map(
            entry -> {
              String[] parts = entry.getValue().split("@", 2);
              return new ControlMachine(entry.getKey(), Integer.parseInt(parts[0]), parts[1]);
            })
        .sorted(java.util.Comparator.comparingInt(ControlMachine::number))
        .toList();
  }

  /** See {@link LeaseProcess}. Any input ends it, too, not only the end of its input. */
  @Command(
      name = "lease-member",
      hidden = true,
      description =
          "Run a single front's membership by lease, gossip or both until its input ends.")
  int leaseMember(
      @CommandLine.Mixin LeaseOptions options, @CommandLine.Mixin Commands.LogOptions log)
      throws IOException, InterruptedException {
    log.apply();
    String address = options.at == null ? options.gossipAt : options.at;
    LeaseProcess.run(
        new LeaseProcess.Options(
            new Member(options.number, address, options.zone, options.region),
            options.at,
            machines(options.machines == null ? Map.of() : options.machines),
            options.gossipAt,
            options.seeds == null ? List.of() : options.seeds,
            options.key,
            options.record,
            Span.ofMillis(options.heartbeatMs)));
    return 0;
  }

  /** Options of a front's membership process, explained at {@link LeaseProcess.Options}. */
  static final class LeaseOptions {
    @Option(names = "--number", required = true)
    int number;

    @Option(names = "--at")
    String at;

    @Option(names = "--gossip-at")
    String gossipAt;

    @Option(names = "--zone")
    int zone;

    @Option(names = "--region")
    int region;

    @Option(names = "--machine")
    Map<Integer, String> machines;

    @Option(names = "--seed")
    List<String> seeds;

    @Option(names = "--key-file", required = true)
    Path key;

    @Option(names = "--record", required = true)
    Path record;

    @Option(names = "--heartbeat-ms", defaultValue = "1000")
    long heartbeatMs;
  }

  /** See {@link ControlProcess}. Any input ends it, too, not only the end of its input. */
  @Command(
      name = "control",
      hidden = true,
      description = "Run a single control machine until its input ends.")
  int control(@CommandLine.Mixin ControlOptions options, @CommandLine.Mixin Commands.LogOptions log)
      throws IOException {
    log.apply();
    return ControlProcess.run(
        new ControlProcess.Options(
            options.number,
            options.listen,
            machines(options.machines),
            options.logListen,
            options.voters,
            options.ways == null ? Map.of() : options.ways,
            options.store,
            options.key,
            options.record),
        Span.ofMillis(options.heartbeatMs),
        Span.ofMillis(options.beatMs));
  }

  /** Hollow fronts are the control parts of fronts in isolation, over real sockets. */
  @Command(name = "hollow-fronts", hidden = true, description = "Run a process of hollow fronts.")
  int hollowFronts(@Parameters Path spec, @CommandLine.Mixin Commands.LogOptions log)
      throws IOException {
    log.apply();
    return HollowChild.run(spec, false);
  }

  @Command(
      name = "hollow-control",
      hidden = true,
      description = "Run a control machine of hollow fronts.")
  int hollowControl(@Parameters Path spec, @CommandLine.Mixin Commands.LogOptions log)
      throws IOException {
    log.apply();
    return HollowChild.run(spec, true);
  }

  /**
   * Options of a control machine process, explained at {@link ControlProcess.Options}; `--way`
   * gives the routes.
   */
  static final class ControlOptions {
    @Option(names = "--number", required = true)
    int number;

    @Option(names = "--listen", required = true)
    String listen;

    @Option(names = "--machine", required = true)
    Map<Integer, String> machines;

    @Option(names = "--log-listen", required = true)
    String logListen;

    @Option(names = "--voter", required = true)
    Map<Integer, String> voters;

    @Option(names = "--way")
    Map<Integer, String> ways;

    @Option(names = "--store")
    Path store;

    @Option(names = "--key-file", required = true)
    Path key;

    @Option(names = "--record", required = true)
    Path record;

    @Option(names = "--heartbeat-ms", defaultValue = "1000")
    long heartbeatMs;

    @Option(names = "--beat-ms", defaultValue = "100")
    long beatMs;
  }

  @Command(
      name = "judge",
      mixinStandardHelpOptions = true,
      description = "Judge a recorded traffic file again.")
  int judge(
      @Parameters(paramLabel = "FILE.jsonl") Path record,
      @Option(names = "--report", paramLabel = "FILE.json") Path file)
      throws IOException {
    Verdict verdict;
    try {
      verdict = Judge.judge(Files.readAllLines(record));
    } catch (InvalidRecordException e) {
      System.err.println(record + ": " + e.getMessage());
      return 1;
    }
    Report result = new Report("judge", 0);
    result.addVerdict(record.getFileName().toString(), verdict);
    result.print(System.out);
    if (file != null) {
      result.write(file);
    }
    return result.hasPassed() ? 0 : 1;
  }
}
