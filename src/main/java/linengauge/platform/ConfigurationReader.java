package linengauge.platform;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParseException;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.util.JsonParserDelegate;
import java.io.IOException;
import java.io.InputStream;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import linengauge.Moment;
import linengauge.platform.Configuration.DiscoveryEvent;
import linengauge.platform.codec.JournalFrameCodec;
import linengauge.platform.codec.TextFormat;
import linengauge.session.BoxTable;
import linengauge.session.BoxTable.ListedBox;
import linengauge.settings.InvalidSettingsException;
import linengauge.settings.JsonTree;
import linengauge.settings.Settings;

/**
 * Reads a configuration file as a stream, in one pass. The known discovery events may take several
 * megabytes; they are validated row by row, and kept only if they are asked for. All else in the
 * file is bounded, so that a reload needs little memory whatever the file contains.
 */
final class ConfigurationReader {
  private static final int MAX_TEXT_LENGTH = 64 * 1024;
  private static final int MAX_NESTING_DEPTH = 64;

  /** Values and names in one field of the file, or in one row of the known events. */
  private static final int MAX_TOKENS = 16 * 1024;

  /** Names are not kept between documents: a file with ever new names would fill the memory. */
  private static final JsonFactory FACTORY =
      JsonFactory.builder()
          .disable(JsonFactory.Feature.INTERN_FIELD_NAMES)
          .disable(JsonFactory.Feature.CANONICALIZE_FIELD_NAMES)
          .streamReadConstraints(
              StreamReadConstraints.builder()
                  .maxStringLength(MAX_TEXT_LENGTH)
                  .maxNameLength(MAX_TEXT_LENGTH)
                  .maxNestingDepth(MAX_NESTING_DEPTH)
                  .build())
          .build();

  /** The names of kind and zone are looked up once the settings are known. */
  private record KnownRow(ListedBox row, String kindName, String zoneName) {
    private ListedBox resolve(Settings settings) {
      return new ListedBox(
          row.id(),
          row.address(),
          row.weight(),
          row.cell(),
          Math.max(0, settings.kindNames().indexOf(kindName)),
          row.state(),
          Math.max(0, settings.buildingNames().indexOf(zoneName)),
          row.startedAt());
    }
  }

  private record KnownEvent(long number, boolean full, List<KnownRow> rows) {
    private DiscoveryEvent resolve(Settings settings) {
      return new DiscoveryEvent(
          number, full, rows.stream().map(row -> row.resolve(settings)).toList());
    }
  }

  /** Ends the reading of a field that has more values than any that can be used. */
  private static final class BoundedParser extends JsonParserDelegate {
    private int tokenCount;

    private BoundedParser(JsonParser parser) {
      super(parser);
    }

    @Override
    public JsonToken nextToken() throws IOException {
      if (++tokenCount > MAX_TOKENS) {
        throw new JsonParseException(this, "a field has too many values");
      }
      return super.nextToken();
    }
  }

  private final boolean keepsKnownEvents;
  private final Map<String, Object> fields = new HashMap<>();
  private final List<KnownEvent> knownEvents = new ArrayList<>();

  /** Each name of a kind or zone, held once for all rows. */
  private final Map<String, String> names = new HashMap<>();

  private boolean hasKnown;

  private ConfigurationReader(boolean keepsKnownEvents) {
    this.keepsKnownEvents = keepsKnownEvents;
  }

  /**
   * Reads and validates a whole configuration.
   *
   * @param keepsKnownEvents whether the result contains the known events, or none
   */
  static Configuration read(InputStream text, boolean keepsKnownEvents)
      throws InvalidSettingsException {
    var reader = new ConfigurationReader(keepsKnownEvents);
    try (JsonParser parser = FACTORY.createParser(text)) {
      reader.readDocument(parser);
      return reader.configuration();
    } catch (JsonProcessingException e) {
      throw new InvalidSettingsException("it is not valid JSON: " + e.getOriginalMessage());
    } catch (IOException e) {
      throw new InvalidSettingsException("it cannot be read: " + e);
    }
  }

  private void readDocument(JsonParser parser) throws IOException, InvalidSettingsException {
    if (parser.nextToken() != JsonToken.START_OBJECT) {
      throw new InvalidSettingsException("it should contain one JSON object");
    }
    while (parser.nextToken() == JsonToken.FIELD_NAME) {
      String key = parser.currentName();
      parser.nextToken();
      switch (key) {
        case "listen", "journal", "seed", "limits", "settings" -> fields.put(key, readTree(parser));
        case "known" -> readKnown(parser);
        default -> parser.skipChildren();
      }
    }
    if (parser.nextToken() != null) {
      throw new InvalidSettingsException("it should contain one JSON object");
    }
  }

  private static Object readTree(JsonParser parser) throws IOException {
    return JsonTree.read(new BoundedParser(parser), parser.currentToken());
  }

  private void readKnown(JsonParser parser) throws IOException, InvalidSettingsException {
    hasKnown = parser.currentToken() == JsonToken.START_OBJECT;
    knownEvents.clear();
    if (!hasKnown) {
      parser.skipChildren();
      return;
    }
    while (parser.nextToken() == JsonToken.FIELD_NAME) {
      boolean isEntries = parser.currentName().equals("entries");
      if (parser.nextToken() == JsonToken.START_ARRAY && isEntries) {
        while (parser.nextToken() != JsonToken.END_ARRAY) {
          readKnownEvent(parser);
        }
      } else {
        parser.skipChildren();
      }
    }
  }

  private void readKnownEvent(JsonParser parser) throws IOException, InvalidSettingsException {
    Object number = null;
    Object full = null;
    List<KnownRow> rows = null;
    if (parser.currentToken() == JsonToken.START_OBJECT) {
      while (parser.nextToken() == JsonToken.FIELD_NAME) {
        String key = parser.currentName();
        JsonToken value = parser.nextToken();
        if (key.equals("pos")) {
          number = readTree(parser);
        } else if (key.equals("hosts") && value == JsonToken.START_OBJECT) {
          while (parser.nextToken() == JsonToken.FIELD_NAME) {
            String hostsKey = parser.currentName();
            JsonToken hostsValue = parser.nextToken();
            if (hostsKey.equals("all")) {
              full = readTree(parser);
            } else if (hostsKey.equals("targets") && hostsValue == JsonToken.START_ARRAY) {
              rows = readRows(parser);
            } else {
              parser.skipChildren();
            }
          }
        } else {
          parser.skipChildren();
        }
      }
    }
    if (rows == null) {
      throw new InvalidSettingsException(
          "an entry of 'known' should contain 'pos' and 'hosts' with 'targets'");
    }
    long eventNumber = wholeNumber(number, "pos", 0);
    if (keepsKnownEvents) {
      knownEvents.add(new KnownEvent(eventNumber, Boolean.TRUE.equals(full), rows));
    }
  }

  private List<KnownRow> readRows(JsonParser parser) throws IOException, InvalidSettingsException {
    List<KnownRow> rows = new ArrayList<>();
    while (parser.nextToken() != JsonToken.END_ARRAY) {
      KnownRow row = parseRow(readTree(parser));
      if (keepsKnownEvents) {
        rows.add(row);
      }
    }
    return rows;
  }

  private KnownRow parseRow(Object item) throws InvalidSettingsException {
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
    Moment startedAt = JournalFrameCodec.bootTime(wholeNumber(target.get("boot_ms"), "boot_ms", 0));
    ListedBox row =
        new ListedBox(
            TextFormat.parseServerId(uid),
            target.get("endpoint") instanceof String address ? address : null,
            target.get("capacity_hint") instanceof Double number ? number : 1,
            (int) wholeNumber(target.get("pod_group"), "pod_group", 0),
            0,
            state,
            0,
            startedAt);
    return new KnownRow(row, sharedName(target.get("model")), sharedName(target.get("az")));
  }

  private String sharedName(Object value) {
    String name = String.valueOf(value);
    return keepsKnownEvents ? names.computeIfAbsent(name, key -> key) : name;
  }

  private Configuration configuration() throws InvalidSettingsException {
    if (!(fields.get("settings") instanceof Map<?, ?> settingsObject)
        || !(fields.get("limits") instanceof Map<?, ?> limitsObject)
        || !hasKnown) {
      throw new InvalidSettingsException("'settings', 'limits' and 'known' should be objects");
    }
    Settings settings = Settings.read(settingsObject);
    if (settings.packageNames().isEmpty()
        || settings.deployment().ladderKbPerSecond().length == 0) {
      throw new InvalidSettingsException("'settings' name no packages or no ladder");
    }
    return new Configuration(
        requireAddress("listen"),
        requireAddress("journal"),
        parseSeed(fields.get("seed")),
        (int) wholeNumber(limitsObject.get("sockets"), "sockets", 1024),
        settings,
        knownEvents.stream().map(event -> event.resolve(settings)).toList());
  }

  private String requireAddress(String key) throws InvalidSettingsException {
    if (fields.get(key) instanceof String address
        && Configuration.port(address) > 0
        && !Configuration.host(address).isEmpty()) {
      return address;
    }
    throw new InvalidSettingsException("'" + key + "' should be host:port");
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

  private static long wholeNumber(Object value, String key, long defaultValue)
      throws InvalidSettingsException {
    if (value == null) {
      return defaultValue;
    }
    if (value instanceof Double number && number == Math.rint(number)) {
      return number.longValue();
    }
    throw new InvalidSettingsException("'" + key + "' should be a whole number");
  }
}
