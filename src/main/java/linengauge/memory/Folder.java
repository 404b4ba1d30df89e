package linengauge.memory;

import java.io.IOException;
import java.util.List;

/**
 * The operations on a durable folder that a store needs. The bytes of a file survive a power loss
 * once {@link #write} has returned; its name does once {@link #sync} has returned after the last
 * creation, rename or deletion.
 */
public interface Folder {
  /** Lists the names of all files. */
  List<String> names() throws IOException;

  /** Reads a file; one longer than the given limit is an error. */
  byte[] read(String name, int maxBytes) throws IOException;

  /** Writes a whole file and syncs its bytes; an existing file of that name is overwritten. */
  void write(String name, byte[] bytes) throws IOException;

  /** Renames a file atomically; an existing file of the new name is replaced. */
  void rename(String from, String to) throws IOException;

  void delete(String name) throws IOException;

  /** Makes all creations, renames and deletions durable. */
  void sync() throws IOException;
}
