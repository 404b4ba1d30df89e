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
 * Reads site files: JSON5 as far as Jackson supports it, validated against the schema in the jar.
 * An invalid file is rejected as a whole.
 */
public final class SiteFile {
  /** Maximum size of a site file. */
  private static final long MAX_FILE_BYTES = 64L << 20;

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

  /** The mapper for JSON with comments and unquoted names, also used for other files. */
  public static ObjectMapper json5() {
    return JSON5;
  }

  /** Reads and validates a file. */
  public static Site read(Path file) throws InvalidSiteException {
    String name = file.toString();
    try {
      if (Files.size(file) > MAX_FILE_BYTES) {
        throw invalid(name, "", 0, "larger than " + MAX_FILE_BYTES + " bytes");
      }
      return parse(name, Files.readAllBytes(file));
    } catch (NoSuchFileException e) {
      throw invalid(name, "", 0, "no such file");
    } catch (IOException e) {
      throw invalid(name, "", 0, "cannot be read: " + e.getMessage());
    }
  }

  /** Parses and validates the bytes of a file; the name is used in the faults. */
  public static Site parse(String name, byte[] bytes) throws InvalidSiteException {
    JsonNode tree = parseWithSchema(name, bytes, schema("/linengauge/site.schema.json"));
    ObjectNode merged = (ObjectNode) defaults();
    overlay(merged, tree);
    Site site;
    try {
      site = JSON5.treeToValue(merged, Site.class);
    } catch (JacksonException e) {
      throw invalid(name, "", 0, e.getOriginalMessage());
    }
    List<SiteFault> faults = SiteChecks.faults(name, site);
    if (!faults.isEmpty()) {
      List<SiteFault> located = new ArrayList<>();
      for (SiteFault fault : faults) {
        located.add(
            new SiteFault(fault.file(), fault.path(), lineOf(tree, fault.path()), fault.what()));
      }
      throw new InvalidSiteException(located);
    }
    return site;
  }

  /** Parses JSON5 and validates it against the schema; each fault has its path and line. */
  public static JsonNode parseWithSchema(String name, byte[] bytes, JsonSchema schema)
      throws InvalidSiteException {
    JsonNode tree = parseTree(name, bytes);
    if (tree == null || !tree.isObject()) {
      throw invalid(name, "", 1, "an object was expected");
    }
    List<SiteFault> faults = schemaFaults(name, tree, schema);
    if (!faults.isEmpty()) {
      throw new InvalidSiteException(faults);
    }
    return tree;
  }

  private static JsonNode parseTree(String name, byte[] bytes) throws InvalidSiteException {
    try {
      JSON5.readTree(bytes); // reports syntax errors with their location, and content after the end
      return JsonNodes.readTree(
          JSON5, new ByteArrayInputStream(bytes), new LocationJsonNodeFactoryFactory());
    } catch (JacksonException e) {
      throw invalid(name, "", lineOf(e.getLocation()), e.getOriginalMessage());
    } catch (UncheckedIOException e) {
      JsonLocation location = e.getCause() instanceof JacksonException j ? j.getLocation() : null;
      throw invalid(name, "", lineOf(location), firstLine(e.getCause().getMessage()));
    } catch (IOException | RuntimeException e) {
      throw invalid(name, "", 0, "not JSON5: " + firstLine(e.getMessage()));
    }
  }

  /** The line number, or 0 if the location is unknown. */
  private static int lineOf(JsonLocation location) {
    return location == null ? 0 : location.getLineNr();
  }

  /** The violations of the schema, each reported once. */
  private static List<SiteFault> schemaFaults(String name, JsonNode tree, JsonSchema schema) {
    List<SiteFault> faults = new ArrayList<>();
    Set<String> reported = new HashSet<>();
    for (ValidationMessage message : schema.validate(tree)) {
      String path = message.getInstanceLocation().toString();
      path = path.startsWith("$.") ? path.substring(2) : path.equals("$") ? "" : path;
      String what = message.getError();
      if (reported.add(path + what)) {
        JsonNode node = message.getInstanceNode();
        JsonLocation location = node == null ? null : JsonNodes.tokenLocationOf(node);
        faults.add(new SiteFault(name, path, lineOf(location), what));
      }
    }
    return faults;
  }

  /** Loads a schema from the jar. */
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

  /** Overlays the defaults with the given values, recursing into objects. */
  private static void overlay(ObjectNode merged, JsonNode tree) {
    tree.fields()
        .forEachRemaining(
            field -> {
              if (field.getValue().isObject()
                  && merged.get(field.getKey()) instanceof ObjectNode defaults) {
                overlay(defaults, field.getValue());
              } else {
                merged.set(field.getKey(), field.getValue());
              }
            });
  }

  private static int lineOf(JsonNode tree, String path) {
    JsonNode node = tree;
    int line = 0;
    for (String part : path.split("[.\\[\\]]+")) {
      node =
          node == null ? null : node.isArray() ? node.get(Integer.parseInt(part)) : node.get(part);
      JsonLocation location = node == null ? null : JsonNodes.tokenLocationOf(node);
      line = location == null ? line : location.getLineNr();
    }
    return line;
  }

  private static InvalidSiteException invalid(String file, String path, int line, String what) {
    return new InvalidSiteException(List.of(new SiteFault(file, path, line, what)));
  }

  private static String firstLine(String text) {
    return text == null ? "unreadable" : text.lines().findFirst().orElse("unreadable");
  }

  /** Renders the site as JSON, including all defaults. */
  public static String show(Site site) {
    try {
      return JSON5.writerWithDefaultPrettyPrinter().writeValueAsString(JSON5.valueToTree(site));
    } catch (JacksonException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Like {@link #parse(String, byte[])}, for a file given as text. */
  public static Site parse(String name, String text) throws InvalidSiteException {
    return parse(name, text.getBytes(StandardCharsets.UTF_8));
  }
}
