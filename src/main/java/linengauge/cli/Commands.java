package linengauge.cli;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import linengauge.front.FrontServer;
import linengauge.site.InvalidSiteException;
import linengauge.site.Site;
import linengauge.site.SiteFile;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/**
 * The command line, with one subcommand for each task. Exit codes: 0 success, 1 failure, 2 wrong
 * usage.
 */
@Command(
    name = "linengauge",
    mixinStandardHelpOptions = true,
    versionProvider = Commands.VersionProvider.class,
    description = "A session front for media boxes with shared links.",
    exitCodeListHeading = "Exit codes:%n",
    exitCodeList = {"0:success; all checks passed", "1:failure", "2:wrong usage"},
    subcommands = {
      Commands.FrontCommand.class,
      Commands.SiteCommand.class,
      DrillCommands.class,
      ControlCommand.class,
      ScaleCommands.class,
      Commands.ServeCommand.class,
      Commands.WireHostCommand.class
    })
final class Commands implements Callable<Integer> {
  @picocli.CommandLine.Spec private CommandLine.Model.CommandSpec spec;

  static int run(String[] args) {
    CommandLine line = new CommandLine(new Commands());
    line.setCaseInsensitiveEnumValuesAllowed(true);
    line.setExecutionExceptionHandler(
        (e, commandLine, parseResult) -> {
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

  static final class VersionProvider implements CommandLine.IVersionProvider {
    @Override
    public String[] getVersion() {
      String version = Commands.class.getPackage().getImplementationVersion();
      return new String[] {"linengauge " + (version == null ? "(not packaged)" : version)};
    }
  }

  /** The log format; has to be applied before the first logger is created. */
  static final class LogOptions {
    @Option(
        names = "--log",
        paramLabel = "FORM",
        defaultValue = "json",
        description = "log on standard error as 'json' lines or as 'text' (default: json)")
    private String format;

    void apply() {
      if (!format.equals("json") && !format.equals("text")) {
        throw new IllegalArgumentException("--log is 'json' or 'text', not '" + format + "'");
      }
      System.setProperty("logback.configurationFile", "linengauge/log-" + format + ".xml");
      System.setProperty("vertx.disableDnsResolver", "true");
    }
  }

  @Command(
      name = "front",
      mixinStandardHelpOptions = true,
      description = "Run a front until it is stopped.")
  static final class FrontCommand implements Callable<Integer> {
    @Option(names = "--site", required = true, paramLabel = "FILE", description = "the site file")
    private Path file;

    @Option(
        names = "--seed",
        paramLabel = "N",
        description = "seed of its random choices (default: the clock)")
    private Long seed;

    @CommandLine.Mixin private LogOptions log;

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
      FrontServer front = new FrontServer(site);
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
        Runtime.getRuntime().halt(1); // there is nothing yet that an orderly stop would have to end
      }
      String failure = front.await();
      if (!failure.isEmpty()) {
        System.err.println("linengauge: " + failure);
      }
      return failure.isEmpty() ? 0 : 1;
    }
  }

  @Command(name = "site", mixinStandardHelpOptions = true, description = "Work with site files.")
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
        description =
            "Check a site file: print one line for each fault and exit 1 if there is any.")
    int check(
        @Parameters(paramLabel = "FILE") Path file,
        @Option(names = "--show", description = "print the site file with all defaults filled in")
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
          "Run a front in the operators' platform, configured by environment variables (docs/operators/platform.md).")
  static final class ServeCommand implements Callable<Integer> {
    @Override
    public Integer call() {
      System.err.println("linengauge: serve takes no arguments");
      return 2;
    }
  }

  @Command(
      name = "wirehost",
      mixinStandardHelpOptions = true,
      description =
          "Make the decisions for the fronts of a simulator, over standard input and output.")
  static final class WireHostCommand implements Callable<Integer> {
    @Override
    public Integer call() {
      System.err.println("linengauge: wirehost takes no arguments");
      return 2;
    }
  }
}
