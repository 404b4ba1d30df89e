package linengauge.front;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/** Reads keys that fronts share, each from a file of its own. */
final class KeyFile {
  /** A shorter key could be guessed. */
  private static final int MIN_KEY_BYTES = 16;

  private KeyFile() {}

  /**
   * Reads the key from a file, without surrounding white space.
   *
   * @param setting the key of the site file that names the file, for error messages
   */
  static byte[] read(String file, String setting) throws IOException {
    String text;
    try {
      text = new String(Files.readAllBytes(Path.of(file)), StandardCharsets.UTF_8);
    } catch (IOException e) {
      throw new IOException(setting + " cannot be read: " + e.getMessage(), e);
    }
    byte[] key = text.strip().getBytes(StandardCharsets.UTF_8);
    if (key.length < MIN_KEY_BYTES) {
      throw new IOException(setting + " holds a key of fewer than " + MIN_KEY_BYTES + " bytes");
    }
    return key;
  }
}
