package linengauge.site;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.core.JacksonException;
import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.core.json.JsonReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.networknt.schema.JsonSchema;
import com.networknt.schema.JsonSchemaFactory;
import com.networknt.schema.SpecVersion;
import com.networknt.schema.ValidationMessage;
import com.networknt.schema.serialization.node.LocationJsonNodeFactoryFactory;
import com.networknt.schema.utils.JsonNodes;
import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Reads site files: JSON5 as far as Jackson's features go, checked against the schema in the jar,
 * refused whole.
 */
public final class SiteFile {
  /** A site file larger than this is no site file. */
  private static final long LARGEST = 64L << 20;

  private static final ObjectMapper JSON5 =
      JsonMapper.builder()
          .enable(
              JsonReadFeature.ALLOW_JAVA_COMMENTS,
              JsonReadFeature.ALLOW_SINGLE_QUOTES,
              JsonReadFeature.ALLOW_UNQUOTED_FIELD_NAMES,
              JsonReadFeature.ALLOW_TRAILING_COMMA,
              JsonReadFeature.ALLOW_LEADING_PLUS_SIGN_FOR_NUMBERS,
              JsonReadFeature.ALLOW_LEADING_DECIMAL_POINT_FOR_NUMBERS,
              JsonReadFeature.ALLOW_TRAILING_DECIMAL_POINT_FOR_NUMBERS)
          .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
          .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
          .serializationInclusion(JsonInclude.Include.NON_NULL)
          .build();

  private SiteFile() {}

  /**
   * The mapper that reads JSON with comments and unquoted names, also for other files of the
   * program.
   */
  public static ObjectMapper json5() {
    return JSON5;
  }

  /** Reads and checks a file. */
  public static Site read(Path file) throws InvalidSiteException {
    String name = file.toString();
    try {
      if (Files.size(file) > LARGEST) {
        throw refused(name, "", 0, "larger than " + LARGEST + " bytes");
      }
      return parse(name, Files.readAllBytes(file));
    } catch (NoSuchFileException e) {
      throw refused(name, "", 0, "no such file");
    } catch (IOException e) {
      throw refused(name, "", 0, "cannot be read: " + e.getMessage());
    }
  }

  /** Reads and checks the bytes of a file; the name is for its faults. */
  public static Site parse(String name, byte[] bytes) throws InvalidSiteException {
    JsonNode given = checked(name, bytes, schema("/linengauge/site.schema.json"));
    ObjectNode whole = (ObjectNode) defaults();
    fill(whole, given);
    Site site;
    try {
      site = JSON5.treeToValue(whole, Site.class);
    } catch (JacksonException e) {
      throw refused(name, "", 0, e.getOriginalMessage());
    }
    List<SiteFault> faults = SiteChecks.faults(name, site);
    if (!faults.isEmpty()) {
      List<SiteFault> placed = new ArrayList<>();
      for (SiteFault f : faults) {
        placed.add(new SiteFault(f.file(), f.path(), lineOf(given, f.path()), f.what()));
      }
      throw new InvalidSiteException(placed);
    }
    return site;
  }

  /** A JSON5 text as a tree that fits the schema; each fault with its path and line. */
  public static JsonNode checked(String name, byte[] bytes, JsonSchema schema)
      throws InvalidSiteException {
    JsonNode given = parsed(name, bytes);
    if (given == null || !given.isObject()) {
      throw refused(name, "", 1, "an object was expected");
    }
    List<SiteFault> faults = schemaFaults(name, given, schema);
    if (!faults.isEmpty()) {
      throw new InvalidSiteException(faults);
    }
    return given;
  }

  private static JsonNode parsed(String name, byte[] bytes) throws InvalidSiteException {
    try {
      JSON5.readTree(bytes); // tells where it breaks, and what stands after the end
      return JsonNodes.readTree(
          JSON5, new ByteArrayInputStream(bytes), new LocationJsonNodeFactoryFactory());
    } catch (JacksonException e) {
      throw refused(name, "", lineOf(e.getLocation()), e.getOriginalMessage());
    } catch (UncheckedIOException e) {
      JsonLocation at = e.getCause() instanceof JacksonException j ? j.getLocation() : null;
      throw refused(name, "", lineOf(at), firstLine(e.getCause().getMessage()));
    } catch (IOException | RuntimeException e) {
      throw refused(name, "", 0, "not JSON5: " + firstLine(e.getMessage()));
    }
  }

  /** 0 where the place is not known. */
  private static int lineOf(JsonLocation at) {
    return at == null ? 0 : at.getLineNr();
  }

  /** What the schema refuses, each fault once. */
  private static List<SiteFault> schemaFaults(String name, JsonNode given, JsonSchema schema) {
    List<SiteFault> faults = new ArrayList<>();
    Set<String> said = new HashSet<>();
    for (ValidationMessage m : schema.validate(given)) {
      String path = m.getInstanceLocation().toString();
      path = path.startsWith("$.") ? path.substring(2) : path.equals("$") ? "" : path;
      String what = m.getError();
      if (said.add(path + what)) {
        JsonNode node = m.getInstanceNode();
        JsonLocation at = node == null ? null : JsonNodes.tokenLocationOf(node);
        faults.add(new SiteFault(name, path, lineOf(at), what));
      }
    }
    return faults;
  }

  /** A schema kept in the jar. */
  public static JsonSchema schema(String resource) {
    try (InputStream in = SiteFile.class.getResourceAsStream(resource)) {
      return JsonSchemaFactory.getInstance(SpecVersion.VersionFlag.V202012).getSchema(in);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private static JsonNode defaults() {
    try (InputStream in = SiteFile.class.getResourceAsStream("/linengauge/site-defaults.json5")) {
      return JSON5.readTree(in);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Lays what is given over the defaults, object by object. */
  private static void fill(ObjectNode whole, JsonNode given) {
    given
        .fields()
        .forEachRemaining(
            f -> {
              if (f.getValue().isObject() && whole.get(f.getKey()) instanceof ObjectNode under) {
                fill(under, f.getValue());
              } else {
                whole.set(f.getKey(), f.getValue());
              }
            });
  }

  private static int lineOf(JsonNode given, String path) {
    JsonNode at = given;
    int line = 0;
    for (String part : path.split("[.\\[\\]]+")) {
      at = at == null ? null : at.isArray() ? at.get(Integer.parseInt(part)) : at.get(part);
      JsonLocation l = at == null ? null : JsonNodes.tokenLocationOf(at);
      line = l == null ? line : l.getLineNr();
    }
    return line;
  }

  private static InvalidSiteException refused(String file, String path, int line, String what) {
    return new InvalidSiteException(List.of(new SiteFault(file, path, line, what)));
  }

  private static String firstLine(String text) {
    return text == null ? "unreadable" : text.lines().findFirst().orElse("unreadable");
  }

  /** The site as JSON text, with all defaults. */
  public static String show(Site site) {
    try {
      return JSON5.writerWithDefaultPrettyPrinter().writeValueAsString(JSON5.valueToTree(site));
    } catch (JacksonException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Text in UTF-8, for callers that have a file as text. */
  public static Site parse(String name, String text) throws InvalidSiteException {
    return parse(name, text.getBytes(StandardCharsets.UTF_8));
  }
}
