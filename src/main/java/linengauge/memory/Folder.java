package linengauge.memory;

import java.io.IOException;
import java.util.List;

/**
 * A folder that lasts, as far as a store needs one. What was written is certain to be there after a
 * power cut only once {@link #write} has come back, and under its name only once {@link #sync} has
 * after the last change of names.
 */
public interface Folder {
  /** The names of all files. */
  List<String> names() throws IOException;

  /** A file's bytes. Never more than the bound given: a longer file is an error. */
  byte[] read(String name, int most) throws IOException;

  /** Writes a new file whole and syncs its bytes; one of that name is overwritten. */
  void write(String name, byte[] bytes) throws IOException;

  /** Gives a file another name; one that has it is replaced, at once or not at all. */
  void rename(String from, String to) throws IOException;

  void delete(String name) throws IOException;

  /** Makes all changes of names certain. */
  void sync() throws IOException;
}
