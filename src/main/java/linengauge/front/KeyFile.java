package linengauge.front;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/** Keys that fronts share, each in a file of its own. */
final class KeyFile {
  /** A key that can be guessed is none. */
  private static final int MIN_KEY_BYTES = 16;

  private KeyFile() {}

  /**
   * The key that the file holds, without white space round it.
   *
   * @param named the site file's name for the file, to say what is wrong
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
