package linengauge.cli;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import linengauge.front.FrontProgram;
import linengauge.site.InvalidSiteException;
import linengauge.site.Site;
import linengauge.site.SiteFile;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** The command line: one subcommand a job. Exit codes: 0 done or held, 1 failed, 2 wrong use. */
@Command(
    name = "linengauge",
    mixinStandardHelpOptions = true,
    versionProvider = Commands.Version.class,
    description = "A session front for media boxes with shared links.",
    exitCodeListHeading = "Exit codes:%n",
    exitCodeList = {"0:done; what was to hold held", "1:failed", "2:wrong use"},
    subcommands = {
      Commands.Front.class,
      Commands.SiteCommand.class,
      Drills.class,
      ControlCommand.class,
      ScaleCommands.class,
      Commands.Serve.class,
      Commands.Wire.class
    })
final class Commands implements Callable<Integer> {
  @picocli.CommandLine.Spec private CommandLine.Model.CommandSpec spec;

  static int run(String[] args) {
    CommandLine line = new CommandLine(new Commands());
    line.setCaseInsensitiveEnumValuesAllowed(true);
    line.setExecutionExceptionHandler(
        (e, l, r) -> {
          System.err.println("linengauge: " + (e.getMessage() == null ? e : e.getMessage()));
          return 1;
        });
    return line.execute(args);
  }

  @Override
  public Integer call() {
    spec.commandLine().usage(System.err);
    return 2;
  }

  static final class Version implements CommandLine.IVersionProvider {
    @Override
    public String[] getVersion() {
      String version = Commands.class.getPackage().getImplementationVersion();
      return new String[] {"linengauge " + (version == null ? "(not packaged)" : version)};
    }
  }

  /** How the log is written; to be called before the first logger is made. */
  static final class LogForm {
    @Option(
        names = "--log",
        paramLabel = "FORM",
        defaultValue = "json",
        description = "log on standard error as 'json' lines or as 'text' (default: json)")
    private String form;

    void apply() {
      if (!form.equals("json") && !form.equals("text")) {
        throw new IllegalArgumentException("--log is 'json' or 'text', not '" + form + "'");
      }
      System.setProperty("logback.configurationFile", "linengauge/log-" + form + ".xml");
      System.setProperty("vertx.disableDnsResolver", "true");
    }
  }

  @Command(
      name = "front",
      mixinStandardHelpOptions = true,
      description = "Run a front until it is told to stop.")
  static final class Front implements Callable<Integer> {
    @Option(names = "--site", required = true, paramLabel = "FILE", description = "the site file")
    private Path file;

    @Option(
        names = "--seed",
        paramLabel = "N",
        description = "seed of its chances (default: the clock)")
    private Long seed;

    @CommandLine.Mixin private LogForm log;

    @Override
    public Integer call() throws InterruptedException {
      log.apply();
      Site site;
      try {
        site = SiteFile.read(file);
      } catch (InvalidSiteException e) {
        System.err.println(e.getMessage());
        return 1;
      }
      FrontProgram front = new FrontProgram(site);
      Runtime.getRuntime()
          .addShutdownHook(
              new Thread(
                  () -> {
                    front.stop();
                    try {
                      front.await(site.stop().playingMs() + 4L * site.boxes().endRetryMs() + 2000);
                    } catch (InterruptedException e) {
                      Thread.currentThread().interrupt();
                    }
                  },
                  "stop"));
      var started = front.start(seed == null ? System.nanoTime() : seed);
      try {
        started.toCompletionStage().toCompletableFuture().join();
      } catch (java.util.concurrent.CompletionException e) {
        System.err.println("linengauge: cannot start: " + e.getCause().getMessage());
        Runtime.getRuntime().halt(1); // nothing is held yet that a stop in order would have to end
      }
      String failed = front.await();
      if (!failed.isEmpty()) {
        System.err.println("linengauge: " + failed);
      }
      return failed.isEmpty() ? 0 : 1;
    }
  }

  @Command(name = "site", mixinStandardHelpOptions = true, description = "Site files.")
  static final class SiteCommand implements Callable<Integer> {
    @picocli.CommandLine.Spec private CommandLine.Model.CommandSpec spec;

    @Override
    public Integer call() {
      spec.commandLine().usage(System.err);
      return 2;
    }

    @Command(
        name = "check",
        mixinStandardHelpOptions = true,
        description = "Check a site file: one line a fault, exit 1 where there is one.")
    int check(
        @Parameters(paramLabel = "FILE") Path file,
        @Option(names = "--show", description = "print it with all defaults filled in")
            boolean show) {
      try {
        Site site = SiteFile.read(file);
        System.out.println(show ? SiteFile.show(site) : file + ": good");
        return 0;
      } catch (InvalidSiteException e) {
        System.err.println(e.getMessage());
        return 1;
      }
    }
  }

  @Command(
      name = "serve",
      mixinStandardHelpOptions = true,
      description =
          "Run a front in the operators' platform, as the environment posts it (docs/operators/platform.md).")
  static final class Serve implements Callable<Integer> {
    @Override
    public Integer call() {
      System.err.println("linengauge: serve stands alone on the command line");
      return 2;
    }
  }

  @Command(
      name = "wirehost",
      mixinStandardHelpOptions = true,
      description = "Decide for the fronts of a simulator, on standard input and output.")
  static final class Wire implements Callable<Integer> {
    @Override
    public Integer call() {
      System.err.println("linengauge: wirehost stands alone on the command line");
      return 2;
    }
  }
}
