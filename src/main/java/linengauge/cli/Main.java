package linengauge.cli;

import java.io.FileDescriptor;
import java.io.FileInputStream;
import java.io.FileOutputStream;
import java.io.IOException;
import linengauge.wire.BadLine;
import linengauge.wire.WireHost;

/** The command line: one subcommand a job. */
public final class Main {
    private static final String USAGE = """
            usage: linengauge wirehost     decide for the fronts of a simulator, on standard input and output
                   linengauge --help       print this
                   linengauge --version    print the version""";

    private Main() {
    }

    public static void main(String[] args) {
        String word = args.length == 1 ? args[0] : "";
        switch (word) {
            case "--help" -> System.out.println(USAGE);
            case "--version" -> {
                String version = Main.class.getPackage().getImplementationVersion();
                System.out.println("linengauge " + (version == null ? "(not packaged)" : version));
            }
            case "wirehost" -> System.exit(host());
            default -> {
                System.err.println(USAGE);
                System.exit(2);
            }
        }
    }

    private static int host() {
        try (var in = new FileInputStream(FileDescriptor.in); var out = new FileOutputStream(FileDescriptor.out)) {
            new WireHost(in, out, System.err).run();
            return 0;
        } catch (BadLine e) {
            System.err.println("linengauge: " + e.getMessage());
        } catch (IOException e) {
            System.err.println("linengauge: standard input or output broke: " + e.getMessage());
        }
        return 1;
    }
}
