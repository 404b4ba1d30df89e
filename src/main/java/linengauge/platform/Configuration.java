package linengauge.platform;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import linengauge.platform.codec.TextFormat;
import linengauge.session.BoxTable.ListedBox;
import linengauge.settings.InvalidSettingsException;
import linengauge.settings.Settings;

/**
 * The configuration with which the platform starts a front (docs/protocol/platform.md,
 * "Configuration").
 *
 * @param listenAddress where the front listens for clients, as host:port
 * @param journalAddress the journal service, as host:port
 * @param seed the seed of all random decisions
 * @param descriptorLimit how many files and sockets the process may have open
 * @param settings the settings of the module
 * @param knownEvents the discovery events known at the start
 */
public record Configuration(
    String listenAddress,
    String journalAddress,
    long seed,
    int descriptorLimit,
    Settings settings,
    List<DiscoveryEvent> knownEvents) {
  /** One discovery event: the full server list, or changes of it. */
  public record DiscoveryEvent(long number, boolean full, List<ListedBox> rows) {}

  /** Reads and validates the file; the message of the exception says what is wrong with it. */
  static Configuration read(Path file) throws InvalidSettingsException {
    return read(file, true);
  }

  /**
   * Reads and validates the file beside a front that serves: the result has no known events, and
   * their number takes no memory.
   */
  static Configuration readWithoutKnownEvents(Path file) throws InvalidSettingsException {
    return read(file, false);
  }

  private static Configuration read(Path file, boolean keepsKnownEvents)
      throws InvalidSettingsException {
    try (InputStream text = Files.newInputStream(file)) {
      return ConfigurationReader.read(text, keepsKnownEvents);
    } catch (IOException e) {
      throw new InvalidSettingsException("it cannot be read: " + e);
    }
  }

  /** Parses and validates the content of a configuration file. */
  public static Configuration read(byte[] text) throws InvalidSettingsException {
    return ConfigurationReader.read(new ByteArrayInputStream(text), true);
  }

  /** The same without the known events, which are needed once. */
  Configuration withoutKnownEvents() {
    return new Configuration(
        listenAddress, journalAddress, seed, descriptorLimit, settings, List.of());
  }

  static String host(String address) {
    return address.substring(0, Math.max(0, address.lastIndexOf(':')));
  }

  /** The port of host:port, or -1 if there is no valid one. */
  static int port(String address) {
    long port = TextFormat.parseWholeNumber(address.substring(address.lastIndexOf(':') + 1));
    return port > 0 && port < 65536 ? (int) port : -1;
  }
}
