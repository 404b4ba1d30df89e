package linengauge.platform;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import linengauge.Moment;
import linengauge.platform.codec.JournalFrameCodec;
import linengauge.platform.codec.TextFormat;
import linengauge.session.BoxTable;
import linengauge.session.BoxTable.ListedBox;
import linengauge.settings.InvalidSettingsException;
import linengauge.settings.JsonTree;
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
    try {
      return read(Files.readAllBytes(file));
    } catch (IOException e) {
      throw new InvalidSettingsException("it cannot be read: " + e);
    }
  }

  /** Parses and validates the content of a configuration file. */
  public static Configuration read(byte[] text) throws InvalidSettingsException {
    try (JsonParser parser = new JsonFactory().createParser(text)) {
      JsonToken first = parser.nextToken();
      if (first != JsonToken.START_OBJECT
          || !(JsonTree.read(parser, first) instanceof Map<?, ?> root)
          || parser.nextToken() != null) {
        throw new InvalidSettingsException("it should contain one JSON object");
      }
      if (!(root.get("settings") instanceof Map<?, ?> settingsObject)
          || !(root.get("limits") instanceof Map<?, ?> limitsObject)
          || !(root.get("known") instanceof Map<?, ?> knownObject)) {
        throw new InvalidSettingsException("'settings', 'limits' and 'known' should be objects");
      }
      Settings settings = Settings.read(settingsObject);
      if (settings.packageNames().isEmpty()
          || settings.deployment().ladderKbPerSecond().length == 0) {
        throw new InvalidSettingsException("'settings' name no packages or no ladder");
      }
      return new Configuration(
          requireAddress(root, "listen"),
          requireAddress(root, "journal"),
          parseSeed(root.get("seed")),
          (int) wholeNumber(limitsObject, "sockets", 1024),
          settings,
          parseKnownEvents(knownObject, settings));
    } catch (JsonProcessingException e) {
      throw new InvalidSettingsException("it is not valid JSON: " + e.getOriginalMessage());
    } catch (IOException e) {
      throw new InvalidSettingsException("it cannot be read: " + e);
    }
  }

  private static String requireAddress(Map<?, ?> object, String key)
      throws InvalidSettingsException {
    if (object.get(key) instanceof String address
        && port(address) > 0
        && !host(address).isEmpty()) {
      return address;
    }
    throw new InvalidSettingsException("'" + key + "' should be host:port");
  }

  static String host(String address) {
    return address.substring(0, Math.max(0, address.lastIndexOf(':')));
  }

  /** The port of host:port, or -1 if there is no valid one. */
  static int port(String address) {
    long port = TextFormat.parseWholeNumber(address.substring(address.lastIndexOf(':') + 1));
    return port > 0 && port < 65536 ? (int) port : -1;
  }

  private static long parseSeed(Object value) throws InvalidSettingsException {
    if (value instanceof String text) {
      try {
        return Long.parseUnsignedLong(text, 16);
      } catch (NumberFormatException e) {
        // reported below
      }
    }
    throw new InvalidSettingsException("'seed' should be up to 16 hex digits");
  }

  private static long wholeNumber(Map<?, ?> object, String key, long defaultValue)
      throws InvalidSettingsException {
    Object value = object.get(key);
    if (value == null) {
      return defaultValue;
    }
    if (value instanceof Double number && number == Math.rint(number)) {
      return number.longValue();
    }
    throw new InvalidSettingsException("'" + key + "' should be a whole number");
  }

  private static List<DiscoveryEvent> parseKnownEvents(Map<?, ?> knownObject, Settings settings)
      throws InvalidSettingsException {
    List<DiscoveryEvent> events = new ArrayList<>();
    if (knownObject.get("entries") instanceof List<?> entries) {
      for (Object item : entries) {
        if (!(item instanceof Map<?, ?> entry)
            || !(entry.get("hosts") instanceof Map<?, ?> hosts)
            || !(hosts.get("targets") instanceof List<?> targets)) {
          throw new InvalidSettingsException(
              "an entry of 'known' should contain 'pos' and 'hosts' with 'targets'");
        }
        List<ListedBox> rows = new ArrayList<>();
        for (Object target : targets) {
          rows.add(parseRow(target, settings));
        }
        events.add(
            new DiscoveryEvent(
                wholeNumber(entry, "pos", 0), Boolean.TRUE.equals(hosts.get("all")), rows));
      }
    }
    return events;
  }

  private static ListedBox parseRow(Object item, Settings settings)
      throws InvalidSettingsException {
    if (!(item instanceof Map<?, ?> target)
        || !(target.get("uid") instanceof String uid)
        || TextFormat.parseServerId(uid) < 0) {
      throw new InvalidSettingsException("a server of 'known' should be an object with 'uid'");
    }
    BoxTable.State state =
        switch (String.valueOf(target.get("state"))) {
          case "up" -> BoxTable.State.SERVING;
          case "draining" -> BoxTable.State.DRAINING;
          case "removed" -> BoxTable.State.GONE;
          default -> throw new InvalidSettingsException("server " + uid + " has an unknown state");
        };
    Moment startedAt = JournalFrameCodec.bootTime(wholeNumber(target, "boot_ms", 0));
    String address = target.get("endpoint") instanceof String text ? text : null;
    double weight = target.get("capacity_hint") instanceof Double number ? number : 1;
    return new ListedBox(
        TextFormat.parseServerId(uid),
        address,
        weight,
        (int) wholeNumber(target, "pod_group", 0),
        Math.max(0, settings.kindNames().indexOf(target.get("model"))),
        state,
        Math.max(0, settings.buildingNames().indexOf(target.get("az"))),
        startedAt);
  }
}
