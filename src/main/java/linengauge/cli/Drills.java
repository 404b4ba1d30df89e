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
import linengauge.drill.DayScript;
import linengauge.drill.ExploreDrill;
import linengauge.drill.FailoverDrill;
import linengauge.drill.Importer;
import linengauge.drill.LeaseProcess;
import linengauge.drill.MemberProcess;
import linengauge.drill.RelayDrill;
import linengauge.drill.Report;
import linengauge.drill.SlowDrill;
import linengauge.drill.TryOut;
import linengauge.lease.ControlMachine;
import linengauge.membership.Member;
import linengauge.rules.BadRecord;
import linengauge.rules.Judge;
import linengauge.rules.Verdict;
import linengauge.scale.hollow.HollowChild;
import linengauge.site.InvalidSiteException;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Proofs on loopback, each a subcommand. */
@Command(
    name = "drill",
    mixinStandardHelpOptions = true,
    description = "Proofs on loopback: troubles acted out, rules judged from the traffic.")
final class Drills implements Callable<Integer> {
  @picocli.CommandLine.Spec private CommandLine.Model.CommandSpec spec;

  @Override
  public Integer call() {
    spec.commandLine().usage(System.err);
    return 2;
  }

  /** What all drills take. */
  static final class Ways {
    @Option(
        names = "--seed",
        paramLabel = "N",
        defaultValue = "1",
        description = "the seed (default: 1)")
    long seed;

    @Option(
        names = "--report",
        paramLabel = "FILE.json",
        description = "write the report there too")
    Path report;

    @Option(
        names = "--traffic",
        paramLabel = "FILE.jsonl",
        description = "write what was seen on the sockets")
    Path traffic;

    @CommandLine.Mixin Commands.LogForm log;

    int done(Report r) throws IOException {
      r.print(System.out);
      if (report != null) {
        r.write(report);
      }
      return r.held() ? 0 : 1;
    }
  }

  @Command(
      name = "bad-day",
      mixinStandardHelpOptions = true,
      description = "Three fronts and twelve boxes through a day of most troubles; the six rules.")
  int badDay(
      @CommandLine.Mixin Ways ways,
      @Option(names = "--short", description = "25 s or less") boolean brief)
      throws IOException, InterruptedException {
    return play("builtin:bad-day" + (brief ? "-short" : ""), ways);
  }

  @Command(name = "day", mixinStandardHelpOptions = true, description = "Play a day script.")
  int day(@Parameters(paramLabel = "DAY.json5") Path script, @CommandLine.Mixin Ways ways)
      throws IOException, InterruptedException {
    return play(script.toString(), ways);
  }

  private static int play(String script, Ways ways) throws IOException, InterruptedException {
    ways.log.apply();
    DayScript day;
    try {
      day = DayScript.read(script);
    } catch (InvalidSiteException e) {
      System.err.println(e.getMessage());
      return 1;
    }
    return ways.done(
        new DayDrill(day, ways.seed, ways.traffic, script.startsWith("builtin:")).run());
  }

  @Command(
      name = "try",
      mixinStandardHelpOptions = true,
      description =
          "Start the bad day's fleet with no trouble and keep it running, to try by hand.")
  int tryByHand(
      @CommandLine.Mixin Commands.LogForm log,
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
          "What the front costs over a bare relay, in one run: joins, bytes, join time, loops, heap.")
  int relay(
      @CommandLine.Mixin Ways ways,
      @Option(names = "--short", description = "a quick look, no measurement") boolean brief)
      throws IOException, InterruptedException {
    ways.log.apply();
    return ways.done(new RelayDrill(ways.seed, brief).run());
  }

  @Command(
      name = "slow-peers",
      mixinStandardHelpOptions = true,
      description =
          "Healthy viewers beside a thousand slow ones;"
              + " a front that stands still; who is let go, and who must not be.")
  int slowPeers(
      @CommandLine.Mixin Ways ways,
      @Option(names = "--short", description = "about half a minute") boolean brief,
      @Option(
              names = "--guards",
              paramLabel = "on|off",
              defaultValue = "on",
              description = "off: nobody is bounded, and the drill must fail")
          String guards,
      @Option(
              names = "--only",
              paramLabel = "WAY",
              description = "all slow ones in one way: ${COMPLETION-CANDIDATES}")
          linengauge.standin.SlowCrowd.Way only)
      throws IOException, InterruptedException {
    if (!guards.equals("on") && !guards.equals("off")) {
      throw new CommandLine.ParameterException(
          spec.commandLine(), "--guards is on or off, not '" + guards + "'");
    }
    ways.log.apply();
    return ways.done(
        new SlowDrill(ways.seed, brief, guards.equals("on"), only, ways.traffic).run());
  }

  @Command(
      name = "failover",
      mixinStandardHelpOptions = true,
      description =
          "Two fronts behind shared addresses on a stand-in"
              + " LAN: killed, stopped, told to end, cut off, flapping; what viewers see, and who claimed what.")
  int failover(
      @CommandLine.Mixin Ways ways,
      @Option(
              names = "--rounds",
              paramLabel = "N",
              defaultValue = "50",
              description = "troubles, one at a time (default: 50)")
          int rounds,
      @Option(names = "--short", description = "five rounds and no baseline, about a minute")
          boolean brief,
      @Option(
              names = "--advert-ms",
              paramLabel = "MS",
              defaultValue = "100",
              description = "between advertisements (default: 100)")
          int advertMs,
      @Option(names = "--no-baseline", description = "without the standard at 1 s beside it")
          boolean alone,
      @Option(
              names = "--additions",
              paramLabel = "on|off",
              defaultValue = "on",
              description = "off: the standard alone")
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
          "--rounds is 1 to 1000, --advert-ms 10 to 10000 in whole"
              + " tens, --additions on or off");
    }
    ways.log.apply();
    boolean more = additions.equals("on");
    Report r = new Report("failover" + (more ? "" : ", additions off"), ways.seed);
    new FailoverDrill(
            ways.seed,
            brief ? 5 : rounds,
            brief ? 0 : more ? 120 : 30,
            advertMs,
            more,
            ways.traffic)
        .run(r, "pair");
    if (!brief && !alone && more && advertMs == 100) {
      new FailoverDrill(ways.seed + 1, Math.max(5, rounds / 10), 30, 1000, false, null)
          .run(r, "baseline, 1 s adverts");
    }
    if (!brief) {
      FailoverDrill.cost(r, advertMs);
    }
    return ways.done(r);
  }

  @Command(
      name = "explore",
      mixinStandardHelpOptions = true,
      description =
          "Every schedule of troubles up to a bound, through"
              + " VRRP's state machine as it runs: one node must come to be Active, and stay.")
  int explore(
      @CommandLine.Mixin Ways ways,
      @Option(
              names = "--depth",
              paramLabel = "N",
              defaultValue = "14",
              description = "happenings among which troubles" + " may come (default: 14)")
          int depth,
      @Option(
              names = "--faults",
              paramLabel = "N",
              defaultValue = "2",
              description = "troubles at the most (default: 2)")
          int faults)
      throws IOException {
    if (depth < 1 || depth > 40 || faults < 0 || faults > 5) {
      throw new CommandLine.ParameterException(
          spec.commandLine(), "--depth is 1 to 40, --faults 0 to 5");
    }
    ways.log.apply();
    return ways.done(ExploreDrill.run(depth, faults));
  }

  @Command(
      name = "bare-relay",
      hidden = true,
      description = "The baseline of `drill relay`, as a process of its own.")
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
          "Turn a day drawn by the operators' simulator into a day script, scaled to loopback.")
  int bring(
      @Parameters(paramLabel = "DAY.json") Path drawn,
      @Option(
              names = {"-o", "--output"},
              required = true,
              paramLabel = "DAY.json5")
          Path script)
      throws IOException {
    Importer.Imported got = Importer.read(Files.readAllBytes(drawn));
    Files.writeString(script, "// From " + drawn.getFileName() + ".\n" + got.script());
    got.changes().forEach(c -> System.out.println("changed: " + c));
    try {
      DayScript.read(script.toString());
    } catch (InvalidSiteException e) {
      System.err.println(e.getMessage());
      return 1;
    }
    return 0;
  }

  @Command(
      name = "member",
      hidden = true,
      description = "One front's members alone, until the input says something.")
  int member(
      @Option(names = "--number", required = true) int number,
      @Option(names = "--at", required = true) String at,
      @Option(names = "--zone") int zone,
      @Option(names = "--region") int region,
      @Option(names = "--seed", required = true) List<String> seeds,
      @Option(names = "--key-file", required = true) Path key,
      @Option(names = "--record", required = true) Path record,
      @Option(names = "--period-ms", defaultValue = "1000") long period,
      @CommandLine.Mixin Commands.LogForm log)
      throws IOException, InterruptedException {
    log.apply();
    MemberProcess.run(
        new Member(number, at, zone, region), seeds, key, record, Span.ofMillis(period));
    return 0;
  }

  @Command(
      name = "council-member",
      hidden = true,
      description = "One front's part in a council alone; its input says what is wanted.")
  int councilMember(
      @Option(names = "--number", required = true) int number,
      @Option(names = "--listen", required = true) String listen,
      @Option(names = "--voter", required = true) Map<Integer, String> voters,
      @Option(names = "--way") Map<Integer, String> ways,
      @Option(names = "--store") Path store,
      @Option(names = "--found") boolean founds,
      @Option(names = "--key-file", required = true) Path key,
      @Option(names = "--record", required = true) Path record,
      @Option(names = "--beat-ms", defaultValue = "100") long beat,
      @CommandLine.Mixin Commands.LogForm log)
      throws IOException {
    log.apply();
    return ConsensusProcess.run(
        new ConsensusProcess.Start(
            number,
            listen,
            voters,
            ways == null ? Map.of() : ways,
            store,
            founds,
            key,
            record,
            Span.ofMillis(beat)));
  }

  /** One control machine as a front or another control machine reaches it: REGION@HOST:PORT. */
  private static List<ControlMachine> machines(Map<Integer, String> told) {
    return told.entrySet().stream()
        .map(
            e -> {
              String[] at = e.getValue().split("@", 2);
              return new ControlMachine(e.getKey(), Integer.parseInt(at[0]), at[1]);
            })
        .sorted(java.util.Comparator.comparingInt(ControlMachine::number))
        .toList();
  }

  @Command(
      name = "lease-member",
      hidden = true,
      description = "One front's membership alone, by lease, gossip or both; ends with its input.")
  int leaseMember(@CommandLine.Mixin LeaseOptions options, @CommandLine.Mixin Commands.LogForm log)
      throws IOException, InterruptedException {
    log.apply();
    String at = options.at == null ? options.gossipAt : options.at;
    LeaseProcess.run(
        new LeaseProcess.Start(
            new Member(options.number, at, options.zone, options.region),
            options.at,
            machines(options.machines == null ? Map.of() : options.machines),
            options.gossipAt,
            options.seeds == null ? List.of() : options.seeds,
            options.key,
            options.record,
            Span.ofMillis(options.heartbeatMs)));
    return 0;
  }

  /** What a front's membership is started with. */
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

  @Command(
      name = "control",
      hidden = true,
      description = "One control machine alone; ends with its input.")
  int control(@CommandLine.Mixin ControlOptions options, @CommandLine.Mixin Commands.LogForm log)
      throws IOException {
    log.apply();
    return ControlProcess.run(
        new ControlProcess.Start(
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

  @Command(name = "hollow-fronts", hidden = true, description = "A process of hollow fronts.")
  int hollowFronts(@Parameters Path spec, @CommandLine.Mixin Commands.LogForm log)
      throws IOException {
    log.apply();
    return HollowChild.run(spec, false);
  }

  @Command(name = "hollow-control", hidden = true, description = "Their control machine.")
  int hollowControl(@Parameters Path spec, @CommandLine.Mixin Commands.LogForm log)
      throws IOException {
    log.apply();
    return HollowChild.run(spec, true);
  }

  /** What a control machine is started with. */
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
      description = "Judge a record of traffic again, alone.")
  int judge(
      @Parameters(paramLabel = "FILE.jsonl") Path record,
      @Option(names = "--report", paramLabel = "FILE.json") Path file)
      throws IOException {
    Verdict v;
    try {
      v = Judge.judge(Files.readAllLines(record));
    } catch (BadRecord e) {
      System.err.println(record + ": " + e.getMessage());
      return 1;
    }
    Report r = new Report("judge", 0);
    r.judged(record.getFileName().toString(), v);
    r.print(System.out);
    if (file != null) {
      r.write(file);
    }
    return r.held() ? 0 : 1;
  }
}
