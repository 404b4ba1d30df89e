package linengauge.scale;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

/** Results as JSON files. */
public final class ScaleResultFile {
  private static final ObjectMapper JSON =
      JsonMapper.builder()
          .enable(SerializationFeature.INDENT_OUTPUT)
          .enable(DeserializationFeature.FAIL_ON_MISSING_CREATOR_PROPERTIES)
          .enable(DeserializationFeature.FAIL_ON_NULL_CREATOR_PROPERTIES)
          .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
          .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
          .build();

  private ScaleResultFile() {}

  /** Reads one; a damaged one, or one of another version, is refused by name. */
  public static ScaleResult read(Path file) throws BadScaleResult {
    try {
      JsonNode tree = JSON.readTree(Files.readAllBytes(file));
      JsonNode version = tree == null ? null : tree.get("version");
      if (version == null || !version.isInt()) {
        throw new BadScaleResult(file, "no result of 'linengauge scale': it names no version");
      }
      if (version.intValue() != ScaleResult.VERSION) {
        throw new BadScaleResult(
            file, "version " + version + ", this program reads " + ScaleResult.VERSION);
      }
      return JSON.treeToValue(tree, ScaleResult.class);
    } catch (JsonProcessingException e) {
      throw new BadScaleResult(file, "damaged: " + e.getOriginalMessage());
    } catch (IOException e) {
      throw new BadScaleResult(file, "cannot be read: " + e);
    }
  }

  /** All of a folder, by name; none where there is no such folder. */
  public static List<ScaleResult> readAll(Path folder) throws BadScaleResult {
    List<ScaleResult> results = new ArrayList<>();
    for (Path file : files(folder)) {
      results.add(read(file));
    }
    return results;
  }

  private static List<Path> files(Path folder) throws BadScaleResult {
    if (!Files.isDirectory(folder)) {
      return List.of();
    }
    try (Stream<Path> all = Files.list(folder)) {
      return all.filter(file -> file.toString().endsWith(".json")).sorted().toList();
    } catch (IOException e) {
      throw new BadScaleResult(folder, "cannot be listed: " + e);
    }
  }

  /** Writes one whole or not at all: a reader never finds half a file. */
  public static void write(Path file, ScaleResult result) throws IOException {
    Path folder = file.toAbsolutePath().getParent();
    Files.createDirectories(folder);
    Path unfinished = Files.createTempFile(folder, ".scale", ".tmp");
    try {
      Files.writeString(unfinished, JSON.writeValueAsString(result) + "\n");
      Files.move(
          unfinished, file, StandardCopyOption.REPLACE_EXISTING, StandardCopyOption.ATOMIC_MOVE);
    } finally {
      Files.deleteIfExists(unfinished);
    }
  }
}
